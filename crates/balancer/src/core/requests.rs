//! The request table: each open request with its command sender, and the counters.

use std::collections::BTreeMap;
use std::sync::Arc;

use beaconflow_policy::{
    AttemptOutcome, ClassId, ClientKey, ConnectRequest, GroupId, Nanos, Pin, RequestId, ServerId,
};

use beaconflow_admission::Entry;

use super::counts::Counts;
use super::{ClientRequest, CommandSender, ConnectionCommand};
use crate::clock::nanos;

/// Phase of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPhase {
    /// No attempt is in flight.
    Waiting,
    /// An attempt is in flight.
    InFlight(ServerId),
    /// An attempt to resume the connection from before the start is in flight.
    Resuming(ServerId),
    /// The connection is established.
    Established(ServerId),
}

impl RequestPhase {
    /// The server of the attempt or connection.
    fn server(self) -> Option<ServerId> {
        match self {
            RequestPhase::Waiting => None,
            RequestPhase::InFlight(server)
            | RequestPhase::Resuming(server)
            | RequestPhase::Established(server) => Some(server),
        }
    }
}

pub(super) struct RequestState {
    pub(super) request: ClientRequest,
    pub(super) deadline_at: Nanos,
    /// Its entry for the admission queue.
    pub(super) entry: Entry,
    /// Whether it expired in the admission queue.
    pub(super) has_expired_in_queue: bool,
    /// When its latest attempt was started.
    attempted_at: Nanos,
    commands: Arc<dyn CommandSender>,
    phase: RequestPhase,
    /// Attempts so far, as the policy counts them.
    attempts: u32,
    /// Whether an attempt that ended may have been executed.
    may_have_executed: bool,
    /// Whether its client was or will be asked to migrate.
    is_migrating: bool,
    /// The pin last reported to the policy.
    pin: Option<Pin>,
    /// The pin by session affinity, where no operator's pin applies.
    affinity_pin: Option<Pin>,
}

/// The end of an attempt.
pub(super) struct EndedAttempt {
    pub(super) attempt: u32,
    pub(super) server: ServerId,
    pub(super) was_established: bool,
    pub(super) was_resuming: bool,
}

/// An attempt whose connection is established.
pub(super) struct EstablishedAttempt {
    /// Number of the attempt, from 0.
    pub(super) attempt: u32,
    pub(super) server: ServerId,
    /// Whether it resumed a connection from before the start.
    pub(super) was_resuming: bool,
    pub(super) class: usize,
    /// Time since the attempt was started.
    pub(super) elapsed: Nanos,
}

/// All open requests.
#[derive(Default)]
pub(super) struct RequestTable {
    open: BTreeMap<u64, RequestState>,
    pub(super) counts: Counts,
}

impl RequestTable {
    /// Adds a request with an operator's pin or an affinity pin; returns it as the policy sees it.
    pub(super) fn open(
        &mut self,
        id: u64,
        request: ClientRequest,
        commands: Arc<dyn CommandSender>,
        (pin, affinity_pin): (Option<Pin>, Option<Pin>),
        entry: Entry,
    ) -> ConnectRequest {
        self.counts.opened += 1;
        self.counts.pinned += u64::from(pin.is_some());
        let deadline_at = request
            .received_at
            .saturating_add(nanos(request.client_timeout));
        let request_state = RequestState {
            request,
            deadline_at,
            entry,
            has_expired_in_queue: false,
            attempted_at: 0,
            commands,
            phase: RequestPhase::Waiting,
            attempts: 0,
            may_have_executed: false,
            is_migrating: false,
            pin: pin.or(affinity_pin),
            affinity_pin,
        };
        let connect_request = request_state.connect_request(id);
        self.open.insert(id, request_state);
        connect_request
    }

    pub(super) fn get(&self, id: u64) -> Option<&RequestState> {
        self.open.get(&id)
    }

    /// A request as the policy sees it.
    pub(super) fn connect_request(&self, id: u64) -> Option<ConnectRequest> {
        self.open
            .get(&id)
            .map(|request_state| request_state.connect_request(id))
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Sends a command. A closed request is skipped: it has reported its end or is about to.
    pub(super) fn send_command(&mut self, id: u64, command: ConnectionCommand) {
        if let Some(request_state) = self.open.get_mut(&id) {
            if matches!(command, ConnectionCommand::Migrate) {
                self.counts.migrated += 1;
                request_state.is_migrating = true;
            }
            request_state.commands.send(id, command);
        }
    }

    /// Starts an attempt. The first one of a request returns its queue entry and the time it
    /// waited.
    pub(super) fn start_attempt(
        &mut self,
        id: u64,
        server: ServerId,
        command: ConnectionCommand,
        now: Nanos,
    ) -> Option<(Entry, Nanos)> {
        let request_state = self.open.get_mut(&id)?;
        let first_attempt = (request_state.attempts == 0
            && request_state.request.resumed_server.is_none())
        .then(|| {
            (
                request_state.entry,
                now.saturating_sub(request_state.request.received_at),
            )
        });
        request_state.attempted_at = now;
        let is_resumed = request_state.request.resumed_server.is_some();
        request_state.phase = if is_resumed {
            RequestPhase::Resuming(server)
        } else {
            RequestPhase::InFlight(server)
        };
        request_state.attempts += 1;
        self.counts.attempts += 1;
        self.send_command(id, command);
        first_attempt
    }

    /// Marks a request as expired in the admission queue.
    pub(super) fn expire_in_queue(&mut self, id: u64) {
        if let Some(request_state) = self.open.get_mut(&id) {
            request_state.has_expired_in_queue = true;
        }
    }

    /// Marks an attempt as established.
    pub(super) fn establish(&mut self, id: u64, now: Nanos) -> Option<EstablishedAttempt> {
        let request_state = self.open.get_mut(&id)?;
        let (server, was_resuming) = match request_state.phase {
            RequestPhase::InFlight(server) => (server, false),
            RequestPhase::Resuming(server) => (server, true),
            RequestPhase::Waiting | RequestPhase::Established(_) => return None,
        };
        request_state.phase = RequestPhase::Established(server);
        self.counts.served += 1;
        let elapsed = now.saturating_sub(request_state.attempted_at);
        Some(EstablishedAttempt {
            attempt: request_state.attempts - 1,
            server,
            was_resuming,
            class: request_state.request.class,
            elapsed,
        })
    }

    /// Marks a request as established at a server from the outset.
    pub(super) fn adopt(&mut self, id: u64, server: ServerId) -> Option<ConnectRequest> {
        self.open.get_mut(&id)?.phase = RequestPhase::Established(server);
        self.counts.adopted += 1;
        self.renumber_attempt(id)
    }

    /// Renumbers the attempts of an established connection for a policy that adopts it.
    pub(super) fn renumber_attempt(&mut self, id: u64) -> Option<ConnectRequest> {
        let request_state = self.open.get_mut(&id)?;
        request_state.attempts = 1;
        Some(request_state.connect_request(id))
    }

    /// The servers that open requests refer to.
    pub(super) fn referenced_servers(&self) -> impl Iterator<Item = ServerId> {
        self.open.values().flat_map(|request_state| {
            let pins = [request_state.pin, request_state.affinity_pin];
            let pinned = pins.into_iter().flatten().filter_map(|pin| pin.server);
            pinned.chain(request_state.phase.server())
        })
    }

    /// The queue entries of all open requests.
    pub(super) fn queue_entries(&self) -> impl Iterator<Item = &Entry> {
        self.open.values().map(|request_state| &request_state.entry)
    }

    /// Replaces the queue entries of all open requests.
    pub(super) fn update_queue_entries(&mut self, entry: impl Fn(&ClientRequest, Entry) -> Entry) {
        for request_state in self.open.values_mut() {
            request_state.entry = entry(&request_state.request, request_state.entry);
        }
    }

    /// The server of a request's attempt or connection.
    pub(super) fn server_of(&self, id: u64) -> Option<ServerId> {
        self.open.get(&id)?.phase.server()
    }

    pub(super) fn established_attempt(&self, id: u64) -> Option<(u32, ServerId)> {
        match self.open.get(&id)? {
            RequestState {
                phase: RequestPhase::Established(server),
                attempts,
                ..
            } => Some((attempts - 1, *server)),
            _ => None,
        }
    }

    pub(super) fn end_attempt(&mut self, id: u64, outcome: AttemptOutcome) -> Option<EndedAttempt> {
        let request_state = self.open.get_mut(&id)?;
        let (server, was_established, was_resuming) = match request_state.phase {
            RequestPhase::Waiting => return None,
            RequestPhase::InFlight(server) => (server, false, false),
            RequestPhase::Resuming(server) => (server, false, true),
            RequestPhase::Established(server) => (server, true, false),
        };
        request_state.phase = RequestPhase::Waiting;
        request_state.may_have_executed |= !outcome.proves_not_executed();
        self.counts.outcomes[outcome as usize] += 1;
        Some(EndedAttempt {
            attempt: request_state.attempts - 1,
            server,
            was_established,
            was_resuming,
        })
    }

    pub(super) fn close(&mut self, id: u64) -> Option<RequestState> {
        self.open.remove(&id)
    }

    pub(super) fn phases(&self) -> Vec<(u64, RequestPhase)> {
        self.open
            .iter()
            .map(|(id, request_state)| (*id, request_state.phase))
            .collect()
    }

    /// The established connections that have not been asked to migrate, the oldest first.
    pub(super) fn migratable(&self) -> impl Iterator<Item = (u64, ServerId)> {
        self.open
            .iter()
            .filter_map(|(id, request_state)| match request_state.phase {
                RequestPhase::Established(server) if !request_state.is_migrating => {
                    Some((*id, server))
                }
                _ => None,
            })
    }

    /// The migratable connections at one server, the oldest first.
    pub(super) fn migratable_at(&self, server: ServerId) -> impl Iterator<Item = u64> {
        self.migratable()
            .filter(move |(_, held_by)| *held_by == server)
            .map(|(id, _)| id)
    }

    /// Updates the pins of all requests that are not established; returns the ones that changed.
    pub(super) fn update_pins(
        &mut self,
        pin: impl Fn(&ClientRequest) -> Option<Pin>,
    ) -> Vec<(u64, Option<Pin>)> {
        let mut changed = Vec::new();
        for (id, request_state) in &mut self.open {
            if !matches!(
                request_state.phase,
                RequestPhase::Waiting | RequestPhase::InFlight(_)
            ) {
                continue;
            }
            let current_pin = pin(&request_state.request).or(request_state.affinity_pin);
            if request_state.pin != current_pin {
                request_state.pin = current_pin;
                changed.push((*id, current_pin));
            }
        }
        changed
    }

    pub(super) fn established_by_server(&self) -> BTreeMap<ServerId, usize> {
        let mut counts = BTreeMap::new();
        for request_state in self.open.values() {
            if let RequestPhase::Established(server) = request_state.phase {
                *counts.entry(server).or_insert(0) += 1;
            }
        }
        counts
    }
}

impl RequestState {
    /// Whether it waits for the policy and has had no attempt.
    pub(super) fn has_no_attempt(&self) -> bool {
        self.attempts == 0 && self.request.resumed_server.is_none()
    }

    /// The final answer of a request that the policy no longer decides on. One that was never sent
    /// is rejected, since a retry is safe.
    pub(super) fn final_answer(&self) -> ConnectionCommand {
        match self.phase {
            RequestPhase::Waiting if !self.may_have_executed => ConnectionCommand::Reject(None),
            RequestPhase::InFlight(_) if !self.may_have_executed => {
                ConnectionCommand::AbandonAttempt
            }
            RequestPhase::Waiting
            | RequestPhase::InFlight(_)
            | RequestPhase::Resuming(_)
            | RequestPhase::Established(_) => ConnectionCommand::Fail,
        }
    }

    fn connect_request(&self, id: u64) -> ConnectRequest {
        ConnectRequest {
            request: RequestId(id),
            deadline_at: self.deadline_at,
            class: ClassId(self.request.class),
            client_key: self.request.client_key.map(ClientKey),
            group: self.request.group.map(GroupId),
            is_reconnect: self.request.is_reconnect,
            expected_load: self.request.expected_load,
            pin: self.pin,
        }
    }
}
