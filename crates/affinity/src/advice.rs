//! Where a client that arrives is led, if anywhere.

use std::fmt;

use crate::entry::Entry;
use crate::memory::Memory;
use crate::placement::{How, SHARED, Stamp, State};
use crate::versions::Version;
use crate::{Group, Key, Millis, Tag, mix};

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
pub struct ServerNow {
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
    fn server(&self, server: Tag) -> Option<ServerNow>;
    /// Whether the configuration has this client on this server: zone, tenant's set of servers, class.
    fn permits(&self, client: &Client, server: Tag) -> bool;
}

/// Why a server is advised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The client had it.
    SameServer,
    /// Most of its group is there; the client was nowhere.
    GroupHome,
    /// Most of its group is there; where the client was no longer holds.
    ReDealt,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::SameServer => "it had this server",
            Why::GroupHome => "its group is there",
            Why::ReDealt => "dealt anew, to its group",
        })
    }
}

/// A server for a client: a wish, as a pin that is not strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Which one.
    pub server: Tag,
    /// Why.
    pub why: Why,
    /// The version that it was dealt under; for a group's home the one that this process runs.
    pub under: Version,
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

impl Memory {
    /// Where a client is to go; nothing is the rotation's turn.
    pub fn place(
        &self,
        client: &Client,
        endpoints: &dyn EndpointView,
        now: Millis,
    ) -> Option<Advice> {
        let Some((entry, listed, holds)) = self.find_listed(client, endpoints, now) else {
            return self.home(client, None, Why::GroupHome, endpoints);
        };
        let had = self
            .names
            .get(self.group_counts.incarnation(entry.group_count()))
            .tag;
        match (holds, listed) {
            (PlacementValidity::Yes, Some(server)) => Some(Advice {
                server,
                why: Why::SameServer,
                under: self.version_of(entry),
            }),
            _ => self.home(client, Some(had), Why::ReDealt, endpoints),
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
        self.find_listed(client, endpoints, now)
            .map(|(_, _, holds)| holds)
    }

    fn find_listed(
        &self,
        client: &Client,
        endpoints: &dyn EndpointView,
        now: Millis,
    ) -> Option<(&Entry, Option<Tag>, PlacementValidity)> {
        let entry = &self.entries[self.find(client.key)? as usize];
        if self.is_expired(entry.seen_s, now) {
            return None;
        }
        let listed = self.listed(
            self.names
                .get(self.group_counts.incarnation(entry.group_count()))
                .tag,
            endpoints,
        );
        let holds = match listed {
            Some((tag, server)) => self.assess(entry, client, tag, server, endpoints, now),
            None => PlacementValidity::NotListed,
        };
        Some((entry, listed.map(|(tag, _)| tag), holds))
    }

    /// A server in the list, under its name or one that it had. Guards against a process that has yet to hear of a new
    /// name.
    fn listed(&self, tag: Tag, endpoints: &dyn EndpointView) -> Option<(Tag, ServerNow)> {
        let names = std::iter::once(tag).chain(self.names.before(tag));
        names
            .into_iter()
            .find_map(|name| Some((name, endpoints.server(name)?)))
    }

    fn assess(
        &self,
        entry: &Entry,
        client: &Client,
        tag: Tag,
        server: ServerNow,
        endpoints: &dyn EndpointView,
        now: Millis,
    ) -> PlacementValidity {
        let dealt = Stamp(entry.stamp).at();
        // Its last second is over.
        let ended = (u64::from(entry.seen_s) + 1) * 1_000;
        if server.started_at > dealt {
            return PlacementValidity::Void;
        }
        if !server.is_ready {
            return PlacementValidity::NotReady;
        }
        // Guards against a service whose clients all have one name, and would all be led to one server.
        if entry.is_established() && entry.twins() == SHARED && !self.is_dead(Stamp(entry.stamp)) {
            return PlacementValidity::Shared;
        }
        let is_off = match entry.state() {
            // Another process knew that it leaves. Guards against one that has yet to hear of it.
            State::Ended(How::MovedLeaving) => server.ready_since < ended,
            State::Ended(How::MovedLate | How::MovedUneven) => {
                now < ended.saturating_add(u64::from(self.limits.away_s) * 1_000)
            }
            _ => false,
        };
        if is_off {
            return PlacementValidity::MovedOff;
        }
        // What a newer version dealt is not for the older one's rules. Guards against a client that two versions send
        // to and fro.
        if !self.is_beyond(self.version_of(entry), dealt, now) && !endpoints.permits(client, tag) {
            return PlacementValidity::NotPermitted;
        }
        PlacementValidity::Yes
    }

    /// The ready server that has most of a group, and room for more of it. Ties go by a hash that all processes share.
    fn home(
        &self,
        client: &Client,
        not: Option<Tag>,
        why: Why,
        endpoints: &dyn EndpointView,
    ) -> Option<Advice> {
        let group = client.group?.0;
        let has_room = |(_, count): &(u16, u32)| *count < self.limits.home_most;
        let fit = |(life, count): (u16, u32)| {
            let life = self.names.get(life);
            let (tag, server) = self
                .listed(life.tag, endpoints)
                .filter(|_| !life.is_over && Some(life.tag) != not)?;
            let is_fit =
                server.is_ready && server.started_at <= life.from && endpoints.permits(client, tag);
            is_fit.then_some((count, mix(group ^ mix(life.tag.0)), tag))
        };
        let (_, _, server) = self
            .group_counts
            .of_group(group)
            .filter(has_room)
            .filter_map(fit)
            .max()?;
        let under = self.versions().current().unwrap_or(Version(0));
        Some(Advice { server, why, under })
    }
}
