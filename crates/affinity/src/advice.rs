//! Selects the server that an arriving client is advised to use, if any.

use std::fmt;

use crate::entry::Entry;
use crate::placement::{EndReason, PlacementState, SHARED_KEY_OVERLAPS, Stamp};
use crate::placement_table::PlacementTable;
use crate::versions::Version;
use crate::{Group, Key, Millis, Tag, mix64};

/// An arriving client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// The client, equal at every process.
    pub key: Key,
    /// The group of the client, if it has one.
    pub group: Option<Group>,
    /// A hash of the name of the tenant, if the client has one.
    pub tenant: Option<u64>,
}

/// The state of a listed server as this process knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// Whether the server accepts new connections: it is neither draining, ejected nor removed.
    pub is_ready: bool,
    /// The time since which this process has seen the server ready without interruption; 0 if
    /// always.
    pub ready_since: Millis,
    /// The time of the last known start of the server; 0 if it started long ago.
    pub started_at: Millis,
}

/// The servers as this process sees them, under the version of the configuration that it runs.
pub trait EndpointView {
    /// The status of a server; `None` if the server is not listed.
    fn server(&self, server: Tag) -> Option<ServerStatus>;
    /// Whether the configuration permits the client on the server, by zone, by the set of servers
    /// of the tenant and by class.
    fn permits(&self, client: &Client, server: Tag) -> bool;
}

/// The reason for which a server is advised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdviceReason {
    /// The previous placement of the client is on this server and still valid.
    SameServer,
    /// Most of the group is on this server, and the client has no previous placement.
    GroupHome,
    /// Most of the group is on this server, and the previous placement of the client is no longer
    /// valid.
    ReDealt,
}

impl fmt::Display for AdviceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AdviceReason::SameServer => "the client was last placed on this server",
            AdviceReason::GroupHome => "most of its group is on this server",
            AdviceReason::ReDealt => {
                "its previous placement is no longer valid, and most of its group is on this server"
            }
        })
    }
}

/// The server that a client should get: a preference, applied as a pin that is not strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    /// The advised server, by the name under which it is listed.
    pub server: Tag,
    /// The rule that selected the server.
    pub reason: AdviceReason,
    /// The version of the configuration under which the placement was made; for a group home, the
    /// version that this process runs.
    pub config_version: Version,
}

/// Whether a placement is still valid, or the first reason why it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementValidity {
    /// The placement is valid.
    Yes,
    /// The server is not in the list of this process.
    NotListed,
    /// The server has started since the placement was made.
    Void,
    /// The server is draining, ejected or removed.
    NotReady,
    /// The client was migrated off the server, and it is too early to return.
    MovedOff,
    /// The configuration no longer permits the client on the server.
    NotPermitted,
    /// Several clients share the key, and a connection under it is established.
    Shared,
}

impl fmt::Display for PlacementValidity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PlacementValidity::Yes => "the placement is valid",
            PlacementValidity::NotListed => "the server is not listed",
            PlacementValidity::Void => "the server has started since the placement was made",
            PlacementValidity::NotReady => "the server accepts no new connections",
            PlacementValidity::MovedOff => {
                "the client was migrated off the server and may not return yet"
            }
            PlacementValidity::Shared => "several clients share the key",
            PlacementValidity::NotPermitted => {
                "the configuration no longer permits the client on the server"
            }
        })
    }
}

impl PlacementTable {
    /// The server that the client should get; `None` leaves the choice to the rotation.
    pub fn advise(
        &self,
        client: &Client,
        endpoints: &dyn EndpointView,
        now: Millis,
    ) -> Option<Advice> {
        let Some((entry, listed, validity)) = self.find_and_assess(client, endpoints, now) else {
            return self.group_home(client, None, AdviceReason::GroupHome, endpoints);
        };
        let previous_server = self
            .servers
            .get(self.group_counts.incarnation(entry.group_count_id()))
            .tag;
        match (validity, listed) {
            (PlacementValidity::Yes, Some(server)) => Some(Advice {
                server,
                reason: AdviceReason::SameServer,
                config_version: self.version_of(entry),
            }),
            _ => self.group_home(
                client,
                Some(previous_server),
                AdviceReason::ReDealt,
                endpoints,
            ),
        }
    }

    /// Whether the placement of a client is valid; `None` if it has no unexpired placement.
    /// Established clients that are no longer permitted on their server are moved by
    /// [`crate::Rebalancer`].
    pub fn validity(
        &self,
        client: &Client,
        endpoints: &dyn EndpointView,
        now: Millis,
    ) -> Option<PlacementValidity> {
        self.find_and_assess(client, endpoints, now)
            .map(|(_, _, validity)| validity)
    }

    fn find_and_assess(
        &self,
        client: &Client,
        endpoints: &dyn EndpointView,
        now: Millis,
    ) -> Option<(&Entry, Option<Tag>, PlacementValidity)> {
        let entry = &self.entries[self.find(client.key)? as usize];
        if self.is_expired(entry.seen_s, now) {
            return None;
        }
        let listed = self.resolve_server(
            self.servers
                .get(self.group_counts.incarnation(entry.group_count_id()))
                .tag,
            endpoints,
        );
        let validity = match listed {
            Some((tag, status)) => self.assess(entry, client, tag, status, endpoints, now),
            None => PlacementValidity::NotListed,
        };
        Some((entry, listed.map(|(tag, _)| tag), validity))
    }

    /// Finds a server in the list under its current or a former name. Guards against a process that
    /// has not yet received the new name.
    fn resolve_server(
        &self,
        tag: Tag,
        endpoints: &dyn EndpointView,
    ) -> Option<(Tag, ServerStatus)> {
        let names = std::iter::once(tag).chain(self.servers.former_names(tag));
        names
            .into_iter()
            .find_map(|name| Some((name, endpoints.server(name)?)))
    }

    fn assess(
        &self,
        entry: &Entry,
        client: &Client,
        tag: Tag,
        status: ServerStatus,
        endpoints: &dyn EndpointView,
        now: Millis,
    ) -> PlacementValidity {
        let placed_at = Stamp(entry.stamp).timestamp_ms();
        // `seen_s` is in whole seconds; the end falls within that second, so the end of the second
        // is used.
        let ended_at_ms = (u64::from(entry.seen_s) + 1) * 1_000;
        if status.started_at > placed_at {
            return PlacementValidity::Void;
        }
        if !status.is_ready {
            return PlacementValidity::NotReady;
        }
        // Guards against a service whose clients all use one name and would all be sent to one
        // server.
        if entry.is_established()
            && entry.overlap_count() == SHARED_KEY_OVERLAPS
            && !self.is_dead(Stamp(entry.stamp))
        {
            return PlacementValidity::Shared;
        }
        let is_suspended = match entry.state() {
            // Another process saw that the server is leaving. Guards against returning the client
            // through a process that has not yet received that.
            PlacementState::Ended(EndReason::MigratedServerLeaving) => {
                status.ready_since < ended_at_ms
            }
            PlacementState::Ended(
                EndReason::MigratedSlowMessages | EndReason::MigratedRebalancing,
            ) => now < ended_at_ms.saturating_add(u64::from(self.limits.return_delay_s) * 1_000),
            _ => false,
        };
        if is_suspended {
            return PlacementValidity::MovedOff;
        }
        // The rules of an older version do not apply to a placement made under a newer one. Guards
        // against a client that processes of two versions send back and forth.
        if !self.is_newer_than_own(self.version_of(entry), placed_at, now)
            && !endpoints.permits(client, tag)
        {
            return PlacementValidity::NotPermitted;
        }
        PlacementValidity::Yes
    }

    /// The ready server with most members of the group and room for more. Ties are broken by a hash
    /// that is equal at every process.
    fn group_home(
        &self,
        client: &Client,
        excluded: Option<Tag>,
        reason: AdviceReason,
        endpoints: &dyn EndpointView,
    ) -> Option<Advice> {
        let group = client.group?.0;
        let has_room = |(_, count): &(u16, u32)| *count < self.limits.max_group_per_server;
        let candidate = |(incarnation, count): (u16, u32)| {
            let incarnation = self.servers.get(incarnation);
            let (tag, status) = self
                .resolve_server(incarnation.tag, endpoints)
                .filter(|_| !incarnation.has_restarted && Some(incarnation.tag) != excluded)?;
            let is_eligible = status.is_ready
                && status.started_at <= incarnation.started_at
                && endpoints.permits(client, tag);
            is_eligible.then_some((count, mix64(group ^ mix64(incarnation.tag.0)), tag))
        };
        let (_, _, server) = self
            .group_counts
            .of_group(group)
            .filter(has_room)
            .filter_map(candidate)
            .max()?;
        let config_version = self.versions().current().unwrap_or(Version(0));
        Some(Advice {
            server,
            reason,
            config_version,
        })
    }
}
