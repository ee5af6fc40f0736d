//! One balancer's decisions without I/O: the module, and the door at which its requests wait. The adapter plays it on the
//! simulator's wire, the laboratory on its own clock.

#![forbid(unsafe_code)]

use beaconflow_admission::{Door, Entry, Limits};
use beaconflow_policy::Balancer;
use beaconflow_policy::{
    Action, ConnectRequest, Event, Nanos, RequestClass, RequestId, Settings, SettingsError,
};
use rustc_hash::FxHashMap;

/// One balancer's decisions, by whatever policy.
pub trait Decides {
    /// A request comes; `account` is its account's place.
    fn arrives(
        &mut self,
        now: Nanos,
        arrival: ConnectRequest,
        account: usize,
        returns: bool,
        out: &mut Vec<Action>,
    );
    /// Anything else happens.
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);
    /// Requests that wait at the door.
    fn waiting(&self) -> usize;
}

/// One balancer.
pub struct Instance {
    balancer: Balancer,
    door: Door,
    /// The accounts' shares, by place.
    shares: Vec<f64>,
    /// What the line is told of each request that is owed an answer.
    entries: FxHashMap<u64, Entry>,
}

impl Instance {
    /// A balancer that knows nothing yet.
    pub fn new(
        settings: Settings,
        shares: Vec<f64>,
        limits: Limits,
        seed: u64,
    ) -> Result<Instance, SettingsError> {
        let urgencies: Vec<f64> = settings
            .classes
            .iter()
            .map(RequestClass::queue_weight)
            .collect();
        let door = Door::new(&urgencies, limits, seed);
        let balancer = Balancer::new(settings, seed)?;
        Ok(Instance {
            balancer,
            door,
            shares,
            entries: FxHashMap::default(),
        })
    }

    fn answered(&mut self, request: RequestId) {
        self.door.leave(request.0);
        self.entries.remove(&request.0);
    }
}

impl Decides for Instance {
    fn arrives(
        &mut self,
        now: Nanos,
        arrival: ConnectRequest,
        account: usize,
        returns: bool,
        out: &mut Vec<Action>,
    ) {
        let client = arrival.client_key.map_or(arrival.request.0, |key| key.0);
        let entry = Entry {
            id: arrival.request.0,
            account: account as u64,
            share: self.shares.get(account).copied().unwrap_or(1.0),
            class: arrival.class.0,
            flow: arrival.group.map_or(client, |group| group.0),
            give_up_at: arrival.deadline_at,
            returns,
            bytes: 0,
        };
        self.entries.insert(arrival.request.0, entry);
        self.handle(now, Event::ConnectRequested(arrival), out);
    }

    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        let mut next = Some(event);
        while let Some(event) = next {
            if let Event::ClientLeft(request)
            | Event::AttemptEstablished { request, .. }
            | Event::AttemptEnded {
                request,
                is_final: true,
                ..
            } = &event
            {
                self.answered(*request);
            }
            let (from, mut gone, mut answered) = (out.len(), Vec::new(), Vec::new());
            self.balancer.handle(now, event, out);
            for action in &out[from..] {
                match action {
                    Action::Enqueue(request) => {
                        if let Some(entry) = self.entries.get(&request.0) {
                            self.door.enter(*entry, &mut gone);
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
                .for_each(|request| self.answered(request));
            for entry in gone {
                let request = RequestId(entry.id);
                self.balancer.handle(
                    now,
                    Event::QueueRejected {
                        request,
                        queue_drain_time: None,
                    },
                    out,
                );
                self.answered(request);
            }
            let turn = if self.balancer.has_permits() {
                self.door.admit()
            } else {
                None
            };
            next = turn.map(|entry| Event::PermitGranted(RequestId(entry.id)));
        }
    }

    fn waiting(&self) -> usize {
        self.door.len()
    }
}
