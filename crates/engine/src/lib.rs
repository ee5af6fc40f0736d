//! One balancer's decisions without I/O: the policy and the admission queue. The adapter runs it on
//! the simulator's wire, the simulator on a virtual clock.

#![forbid(unsafe_code)]

use beaconflow_admission::{AdmissionQueue, Entry, Limits};
use beaconflow_policy::Balancer;
use beaconflow_policy::{
    Action, AttemptEnd, ConnectRequest, Event, Nanos, RequestClass, RequestId, Settings,
    SettingsError,
};
use rustc_hash::FxHashMap;

/// The decisions of one balancer, by this policy or another.
pub trait BalancerEngine {
    /// Handles a request of a client. `account` is the index of its account.
    fn on_connect_requested(
        &mut self,
        now: Nanos,
        connect: ConnectRequest,
        account: usize,
        out: &mut Vec<Action>,
    );
    /// Handles any other event and appends the actions that follow.
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);
    /// Number of requests in the admission queue.
    fn queued(&self) -> usize;
}

/// The policy and the admission queue of one balancer.
pub struct Engine {
    policy: Balancer,
    queue: AdmissionQueue,
    /// Shares of the accounts, by index.
    account_shares: Vec<f64>,
    /// The queue entries of requests that are owed an answer.
    entries: FxHashMap<u64, Entry>,
}

impl Engine {
    /// Creates a balancer without servers.
    ///
    /// # Errors
    ///
    /// Fails if a setting of the policy is out of range.
    pub fn new(
        settings: Settings,
        account_shares: Vec<f64>,
        limits: Limits,
        seed: u64,
    ) -> Result<Engine, SettingsError> {
        let queue_weights: Vec<f64> = settings
            .classes
            .iter()
            .map(RequestClass::queue_weight)
            .collect();
        let queue = AdmissionQueue::new(&queue_weights, limits, seed);
        let policy = Balancer::new(settings, seed)?;
        Ok(Engine {
            policy,
            queue,
            account_shares,
            entries: FxHashMap::default(),
        })
    }

    fn remove(&mut self, request: RequestId) {
        self.queue.remove(request.0);
        self.entries.remove(&request.0);
    }
}

impl BalancerEngine for Engine {
    fn on_connect_requested(
        &mut self,
        now: Nanos,
        connect: ConnectRequest,
        account: usize,
        out: &mut Vec<Action>,
    ) {
        let client = connect.client_key.map_or(connect.request.0, |key| key.0);
        let entry = Entry {
            id: connect.request.0,
            account: account as u64,
            share: self.account_shares.get(account).copied().unwrap_or(1.0),
            class: connect.class.0,
            flow: connect.group.map_or(client, |group| group.0),
            deadline: connect.deadline_at,
            bytes: 0,
        };
        self.entries.insert(connect.request.0, entry);
        self.handle(now, Event::ConnectRequested(connect), out);
    }

    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        let mut next = Some(event);
        while let Some(event) = next {
            if let Event::ClientLeft(request)
            | Event::AttemptEstablished { request, .. }
            | Event::AttemptEnded(AttemptEnd {
                request,
                is_final: true,
                ..
            }) = &event
            {
                self.remove(*request);
            }
            let (first_new, mut displaced, mut answered) = (out.len(), Vec::new(), Vec::new());
            self.policy.handle(now, event, out);
            for action in &out[first_new..] {
                match action {
                    Action::Enqueue(request) => {
                        if let Some(entry) = self.entries.get(&request.0) {
                            self.queue.enqueue(*entry, &mut displaced);
                        }
                    }
                    Action::Reject { request, .. } | Action::Fail(request) => {
                        answered.push(*request)
                    }
                    _ => {}
                }
            }
            answered
                .into_iter()
                .for_each(|request| self.remove(request));
            for entry in displaced {
                let request = RequestId(entry.id);
                self.policy.handle(
                    now,
                    Event::QueueRejected {
                        request,
                        queue_drain_time: None,
                    },
                    out,
                );
                self.remove(request);
            }
            let admitted = if self.policy.has_permits() {
                self.queue.admit()
            } else {
                None
            };
            next = admitted.map(|entry| Event::PermitGranted(RequestId(entry.id)));
        }
    }

    fn queued(&self) -> usize {
        self.queue.len()
    }
}
