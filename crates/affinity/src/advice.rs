//! Where a client that arrives is led, if anywhere.

use std::fmt;

use crate::entry::Entry;
use crate::placement::{EndReason, PlacementState, SHARED_KEY_OVERLAPS, Stamp};
use crate::placement_table::PlacementTable;
use crate::versions::Version;
use crate::{Group, Key, Millis, Tag, mix64};

/// A client as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// Which client.
    pub key: Key,
    /// Its group.
    pub group: Option<Group>,
    /// A hash of its tenant's name.
    pub tenant: Option<u64>,
}

/// What a process knows of a listed server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerStatus {
    /// It takes new work: it neither drains nor is it out or gone.
    pub is_ready: bool,
    /// Since when this process has seen it ready without a break; 0 if always.
    pub ready_since: Millis,
    /// When it last started; 0 if long ago.
    pub started_at: Millis,
}

/// The farm as this process sees it, under the version that it runs.
pub trait EndpointView {
    /// A listed server.
    fn server(&self, server: Tag) -> Option<ServerStatus>;
    /// Whether the configuration has this client on this server: zone, tenant's set of servers, class.
    fn permits(&self, client: &Client, server: Tag) -> bool;
}

/// Why a server is advised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdviceReason {
    /// The client had it.
    SameServer,
    /// Most of its group is there; the client was nowhere.
    GroupHome,
    /// Most of its group is there; where the client was no longer holds.
    ReDealt,
}

impl fmt::Display for AdviceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AdviceReason::SameServer => "it had this server",
            AdviceReason::GroupHome => "its group is there",
            AdviceReason::ReDealt => "dealt anew, to its group",
        })
    }
}

/// A server for a client: a wish, as a pin that is not strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Which one.
    pub server: Tag,
    /// Why.
    pub reason: AdviceReason,
    /// The version that it was dealt under; for a group's home the one that this process runs.
    pub config_version: Version,
}

/// Whether a placement holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementValidity {
    /// It does.
    Yes,
    /// Its server is not listed here.
    NotListed,
    /// Its server started after it.
    Void,
    /// Its server drains, is out or gone.
    NotReady,
    /// The client was moved off it on purpose, and it is too early to go back.
    MovedOff,
    /// The configuration has this client there no longer.
    NotPermitted,
    /// Several clients have this key, and stand.
    Shared,
}

impl fmt::Display for PlacementValidity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PlacementValidity::Yes => "it holds",
            PlacementValidity::NotListed => "its server is not listed",
            PlacementValidity::Void => "its server has started since",
            PlacementValidity::NotReady => "its server takes nothing new",
            PlacementValidity::MovedOff => "it was moved off on purpose",
            PlacementValidity::Shared => "several clients have its key",
            PlacementValidity::NotPermitted => "the configuration has it there no longer",
        })
    }
}

impl PlacementTable {
    /// Where a client is to go; nothing is the rotation's turn.
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

    /// Whether a client's placement holds; nothing if it has none. Those that stand and are no longer permitted are for
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

    /// A server in the list, under its name or one that it had. Guards against a process that has yet to hear of a new
    /// name.
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
        // Its last second is over.
        let ended_at_ms = (u64::from(entry.seen_s) + 1) * 1_000;
        if status.started_at > placed_at {
            return PlacementValidity::Void;
        }
        if !status.is_ready {
            return PlacementValidity::NotReady;
        }
        // Guards against a service whose clients all have one name, and would all be led to one server.
        if entry.is_established()
            && entry.overlap_count() == SHARED_KEY_OVERLAPS
            && !self.is_dead(Stamp(entry.stamp))
        {
            return PlacementValidity::Shared;
        }
        let is_suspended = match entry.state() {
            // Another process knew that it leaves. Guards against one that has yet to hear of it.
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
        // What a newer version dealt is not for the older one's rules. Guards against a client that two versions send
        // to and fro.
        if !self.is_newer_than_own(self.version_of(entry), placed_at, now)
            && !endpoints.permits(client, tag)
        {
            return PlacementValidity::NotPermitted;
        }
        PlacementValidity::Yes
    }

    /// The ready server that has most of a group, and room for more of it. Ties go by a hash that all processes share.
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
