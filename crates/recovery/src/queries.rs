//! Queries to the sources of evidence: order, retries with backoff, and spread over the fleet.

use rand::Rng;

use crate::recovery::Recovery;
use crate::{
    Action, EvidenceSource, ListSource, MS, Nanos, OutageScope, RecoveryState, RecoveryStep,
};

/// Shortest span over which a retry is spread.
const MIN_RETRY_SPREAD: Nanos = 200 * MS;

/// State of the queries to one source.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueryState {
    pub(crate) is_answered: bool,
    attempts: u32,
    /// When the latest call was made or is due.
    call_at: Nanos,
    /// When the call is retried if no answer arrives; `None` if no retry is due.
    pub(crate) retry_at: Option<Nanos>,
}

impl Recovery {
    /// Queries the first configured source at or after index `from`, or starts admission if there
    /// is none.
    pub(crate) fn query_next(&mut self, now: Nanos, from: usize, out: &mut Vec<Action>) {
        match EvidenceSource::ALL
            .into_iter()
            .skip(from)
            .find(|source| self.is_configured(*source))
        {
            Some(source) => {
                self.state = RecoveryState::Querying(source);
                self.step_deadline_at = now.saturating_add(self.config.query_timeout(source));
                self.log_step(
                    out,
                    RecoveryStep::Query(source),
                    format!("querying source: {source}"),
                    Some(self.step_deadline_at),
                );
                if !self.queries[source as usize].is_answered {
                    let delay = self.rng.random_range(0..=self.first_call_spread(source));
                    self.call(now, source, delay, out);
                }
            }
            None => self.start_admission(now, out),
        }
    }

    fn is_configured(&self, source: EvidenceSource) -> bool {
        match source {
            EvidenceSource::SitePeers => self.config.site_peers > 0,
            EvidenceSource::OtherSites => !self.config.other_sites.is_empty(),
            EvidenceSource::Discovery => true,
            EvidenceSource::Store => self.config.has_store,
        }
    }

    fn answer_timeout(&self, source: EvidenceSource) -> Nanos {
        let timeouts = &self.config.timeouts;
        match source {
            EvidenceSource::SitePeers => timeouts.site_peers,
            EvidenceSource::OtherSites => timeouts.other_sites,
            EvidenceSource::Discovery => timeouts.discovery,
            EvidenceSource::Store => timeouts.store,
        }
    }

    /// The span over which the fleet's first calls to a source are spread. It is short for peers,
    /// because they also report without a query.
    fn first_call_spread(&self, source: EvidenceSource) -> Nanos {
        match source {
            EvidenceSource::SitePeers | EvidenceSource::OtherSites => {
                self.answer_timeout(source) / 4
            }
            EvidenceSource::Discovery | EvidenceSource::Store => self.config.call_spread(),
        }
    }

    fn call(&mut self, now: Nanos, source: EvidenceSource, delay: Nanos, out: &mut Vec<Action>) {
        out.push(Action::Query { source, delay });
        let call_at = now.saturating_add(delay);
        let retry_at =
            Some(call_at.saturating_add(self.answer_timeout(source).max(MIN_RETRY_SPREAD)));
        let query = &mut self.queries[source as usize];
        *query = QueryState {
            attempts: query.attempts.saturating_add(1),
            call_at,
            retry_at,
            ..*query
        };
    }

    /// Retries after a capped exponential backoff with full jitter, never faster than the spread
    /// of the fleet's calls.
    fn retry_call(&mut self, now: Nanos, source: EvidenceSource, out: &mut Vec<Action>) {
        let attempts = self.queries[source as usize].attempts.min(16);
        let max_span = self
            .config
            .timeouts
            .max_retry_interval
            .max(self.first_call_spread(source));
        let span = self
            .first_call_spread(source)
            .max(MIN_RETRY_SPREAD)
            .saturating_mul(1 << attempts)
            .min(max_span);
        let delay = self.rng.random_range(0..=span);
        self.call(now, source, delay, out);
    }

    /// Retries the calls that are due, in every state, so that a source that becomes reachable
    /// last is still queried.
    pub(crate) fn retry_due_calls(&mut self, now: Nanos, out: &mut Vec<Action>) {
        for source in EvidenceSource::ALL {
            if self.queries[source as usize]
                .retry_at
                .is_some_and(|retry_at| now >= retry_at)
            {
                self.retry_call(now, source, out);
            }
        }
    }

    pub(crate) fn on_answered(&mut self, source: EvidenceSource) {
        let query = &mut self.queries[source as usize];
        *query = QueryState {
            is_answered: true,
            retry_at: None,
            ..*query
        };
    }

    /// Counts a received list as the answer of its source.
    pub(crate) fn on_list_received(&mut self, source: ListSource) {
        match source {
            ListSource::Configured | ListSource::Memory => {}
            ListSource::Peer => self.on_answered(EvidenceSource::SitePeers),
            ListSource::OtherSite => self.on_answered(EvidenceSource::OtherSites),
            ListSource::Discovery => self.on_answered(EvidenceSource::Discovery),
            ListSource::Store => self.on_answered(EvidenceSource::Store),
        }
    }

    /// Handles a failed call. A failure without an outstanding call is ignored.
    pub(crate) fn on_query_failed(
        &mut self,
        now: Nanos,
        source: EvidenceSource,
        out: &mut Vec<Action>,
    ) {
        self.evidence.record_silence(source);
        let query = &self.queries[source as usize];
        if query.retry_at.is_some() && now >= query.call_at {
            self.retry_call(now, source, out);
        }
    }

    /// Whether the query to a source is answered, timed out or no longer needed.
    pub(crate) fn is_query_done(&self, now: Nanos, source: EvidenceSource) -> bool {
        let has_list = source == EvidenceSource::Discovery && self.has_list_since_outage();
        self.queries[source as usize].is_answered
            || now >= self.step_deadline_at
            || has_list
            || self.can_skip_queries(now)
    }

    /// Whether the present list is newer than the start of the outage. A peer's list counts,
    /// because the peer received it from discovery.
    pub(crate) fn has_list_since_outage(&self) -> bool {
        self.servers
            .as_of()
            .is_some_and(|as_of| as_of >= self.outage_started_at as i64)
    }

    /// Whether the remaining queries can be skipped: only this process restarted, and it has a
    /// list from a peer or a better source.
    fn can_skip_queries(&self, now: Nanos) -> bool {
        let has_list = self
            .servers
            .source()
            .is_some_and(|source| source >= ListSource::OtherSite);
        has_list && self.assess_scope(now).scope == OutageScope::Process
    }

    pub(crate) fn finish_query(
        &mut self,
        now: Nanos,
        source: EvidenceSource,
        out: &mut Vec<Action>,
    ) {
        if !self.queries[source as usize].is_answered {
            self.evidence.record_silence(source);
        }
        if !self.can_skip_queries(now) {
            return self.query_next(now, source as usize + 1, out);
        }
        // The remaining sources are still queried, but admission does not wait for them.
        for later in EvidenceSource::ALL.into_iter().skip(source as usize + 1) {
            if self.is_configured(later) && !self.queries[later as usize].is_answered {
                let delay = self.rng.random_range(0..=self.first_call_spread(later));
                self.call(now, later, delay, out);
            }
        }
        self.start_admission(now, out);
    }
}
