//! What processes say of themselves on their way through failure, as protocol buffers that the peers carry unread.
//! Fields are added, never given another meaning or number.

use beaconflow_edge::{Before, Force, Judged, Judgement, Place, Says, Seen, State, Word};
use beaconflow_recovery::PeerWord;
use prost::Message;

const MS: u64 = 1_000_000;

#[derive(Clone, PartialEq, Message)]
struct WordRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    site: String,
    #[prost(uint64, tag = "3")]
    boot: u64,
    #[prost(uint64, tag = "4")]
    up_for_ms: u64,
    #[prost(uint64, optional, tag = "5")]
    serving_for_ms: Option<u64>,
    #[prost(bool, tag = "6")]
    in_full: bool,
    #[prost(uint64, optional, tag = "7")]
    wall_ms: Option<u64>,
    #[prost(double, optional, tag = "8")]
    former: Option<f64>,
    #[prost(double, tag = "9")]
    short: f64,
}

/// How this process stands on its way.
pub(super) fn say(word: &PeerWord) -> Vec<u8> {
    WordRecord {
        name: word.name.clone(),
        site: word.site.clone(),
        boot: word.boot,
        up_for_ms: word.up_for / MS,
        serving_for_ms: word.serving_for.map(|span| span / MS),
        in_full: word.in_full,
        wall_ms: word.wall,
        former: word.former,
        short: word.short,
    }
    .encode_to_vec()
}

/// What another process said so long ago: its spans have grown since. Nothing if it can't be read.
pub(super) fn hear(bytes: &[u8], age_ms: u64) -> Option<PeerWord> {
    let read = WordRecord::decode(bytes).ok()?;
    let sound = |value: &f64| value.is_finite() && *value >= 0.0;
    let grown = |span: u64| span.saturating_add(age_ms).saturating_mul(MS);
    Some(PeerWord {
        name: read.name,
        site: read.site,
        boot: read.boot,
        up_for: grown(read.up_for_ms),
        serving_for: read.serving_for_ms.map(grown),
        in_full: read.in_full,
        wall: read.wall_ms.map(|wall| wall.saturating_add(age_ms)),
        former: read.former.filter(sound),
        short: if sound(&read.short) { read.short } else { 0.0 },
    })
}

/// A part of what may be let in that a process leaves to another.
#[derive(Clone, PartialEq, Message)]
struct LoanRecord {
    #[prost(string, tag = "1")]
    from: String,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(double, tag = "3")]
    clients: f64,
}

pub(super) fn lend(from: &str, number: u64, clients: f64) -> Vec<u8> {
    LoanRecord {
        from: from.to_owned(),
        number,
        clients,
    }
    .encode_to_vec()
}

/// Who leaves it, which loan it is, and how many clients.
pub(super) fn read_loan(bytes: &[u8]) -> Option<(String, u64, f64)> {
    let read = LoanRecord::decode(bytes).ok()?;
    Some((read.from, read.number, read.clients))
}

/// What a process found a server to be. Moments are told as ages.
#[derive(Clone, PartialEq, Message)]
struct JudgedRecord {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(string, tag = "2")]
    origin: String,
    #[prost(uint32, tag = "3")]
    judged: u32,
    #[prost(uint32, tag = "4")]
    weight: u32,
    #[prost(uint64, tag = "5")]
    since_age_ms: u64,
    #[prost(uint64, tag = "6")]
    started_ms: u64,
    #[prost(message, optional, tag = "7")]
    before: Option<BeforeRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct BeforeRecord {
    #[prost(uint64, tag = "1")]
    until_age_ms: u64,
    #[prost(uint32, tag = "2")]
    judged: u32,
    #[prost(uint32, tag = "3")]
    weight: u32,
}

/// In the order of their numbers, from 0.
const JUDGED: [Judged; 6] = [
    Judged::Well,
    Judged::Busy,
    Judged::Hung,
    Judged::Refused,
    Judged::Drains,
    Judged::Gone,
];

/// What this process found a server to be just now.
pub(super) fn judge(one: &Judgement) -> Vec<u8> {
    let age = |at: u64| one.witnessed_ms.saturating_sub(at);
    JudgedRecord {
        server: one.server.clone(),
        origin: one.origin.clone(),
        judged: number(&one.judged, &JUDGED),
        weight: one.weight,
        since_age_ms: age(one.since_ms),
        started_ms: one.started_ms,
        before: one.before.map(|before| BeforeRecord {
            until_age_ms: age(before.until_ms),
            judged: number(&before.judged, &JUDGED),
            weight: before.weight,
        }),
    }
    .encode_to_vec()
}

/// What another process found a server to be at that moment. Nothing if it can't be read.
pub(super) fn read_judged(bytes: &[u8], witnessed_ms: u64) -> Option<Judgement> {
    let read = JudgedRecord::decode(bytes).ok()?;
    let kind = |number: u32| JUDGED.get(number as usize).copied();
    let ago = |age: u64| witnessed_ms.saturating_sub(age);
    let before = |before: BeforeRecord| {
        let (until_ms, judged) = (ago(before.until_age_ms), kind(before.judged)?);
        Some(Before {
            until_ms,
            judged,
            weight: before.weight,
        })
    };
    Some(Judgement {
        witnessed_ms,
        judged: kind(read.judged)?,
        weight: read.weight,
        since_ms: ago(read.since_age_ms),
        before: read.before.and_then(before),
        started_ms: read.started_ms,
        server: read.server,
        origin: read.origin,
    })
}

#[derive(Clone, PartialEq, Message)]
struct SaysRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    site: String,
    #[prost(uint32, tag = "3")]
    state: u32,
    #[prost(message, repeated, tag = "4")]
    places: Vec<PlaceRecord>,
    #[prost(message, repeated, tag = "5")]
    probes: Vec<PlaceRecord>,
    #[prost(message, optional, tag = "6")]
    word: Option<ForceRecord>,
}

/// A place with a number: how it was seen, or how often it was asked.
#[derive(Clone, PartialEq, Message)]
struct PlaceRecord {
    /// 0 is discovery, 1 the store, 2 a site.
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(string, tag = "2")]
    site: String,
    #[prost(uint32, tag = "3")]
    number: u32,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ForceRecord {
    #[prost(uint64, tag = "1")]
    given_at: u64,
    #[prost(uint32, tag = "2")]
    force: u32,
    #[prost(uint64, tag = "3")]
    ends_at: u64,
    #[prost(string, tag = "4")]
    who: String,
    #[prost(string, tag = "5")]
    why: String,
}

/// Each in the order of their numbers, from 0.
const STATES: [State; 4] = [
    State::Linked,
    State::Doubtful,
    State::Islanded,
    State::Rejoining,
];
const SIGHTS: [Seen; 3] = [Seen::Stands, Seen::Hears, Seen::Lost];
const FORCES: [Force; 3] = [Force::Automatic, Force::Island, Force::Linked];

fn number<T: PartialEq>(of: &T, all: &[T]) -> u32 {
    all.iter().position(|one| one == of).unwrap_or(0) as u32
}

fn place(place: &Place, number: u32, age_ms: u64) -> PlaceRecord {
    let (kind, site) = match place {
        Place::Discovery => (0, String::new()),
        Place::Store => (1, String::new()),
        Place::Site(site) => (2, site.clone()),
    };
    PlaceRecord {
        kind,
        site,
        number,
        age_ms,
    }
}

fn read_place(record: &PlaceRecord) -> Option<Place> {
    match record.kind {
        0 => Some(Place::Discovery),
        1 => Some(Place::Store),
        2 => Some(Place::Site(record.site.clone())),
        _ => None,
    }
}

/// What this process sees of the uplink.
pub(super) fn say_uplink(says: &Says) -> Vec<u8> {
    let force = |word: &Word| ForceRecord {
        given_at: word.given_at,
        force: number(&word.force, &FORCES),
        ends_at: word.ends_at,
        who: word.who.clone(),
        why: word.why.clone(),
    };
    let seen = |(at, seen, age): &(Place, Seen, u64)| place(at, number(seen, &SIGHTS), *age);
    SaysRecord {
        name: says.name.clone(),
        site: says.site.clone(),
        state: number(&says.state, &STATES),
        places: says.places.iter().map(seen).collect(),
        probes: says
            .probes
            .iter()
            .map(|(at, tries, age)| place(at, *tries, *age))
            .collect(),
        word: says.word.as_ref().map(force),
    }
    .encode_to_vec()
}

/// What another process of the site said so long ago. Nothing if it can't be read.
pub(super) fn hear_uplink(bytes: &[u8], age_ms: u64) -> Option<Says> {
    let read = SaysRecord::decode(bytes).ok()?;
    let aged = |one: &PlaceRecord| one.age_ms.saturating_add(age_ms);
    let seen = |one: &PlaceRecord| {
        Some((
            read_place(one)?,
            *SIGHTS.get(one.number as usize)?,
            aged(one),
        ))
    };
    let probe = |one: &PlaceRecord| Some((read_place(one)?, one.number, aged(one)));
    let force = |word: &ForceRecord| {
        let force = *FORCES.get(word.force as usize)?;
        let (who, why) = (word.who.clone(), word.why.clone());
        Some(Word {
            given_at: word.given_at,
            force,
            ends_at: word.ends_at,
            who,
            why,
        })
    };
    Some(Says {
        state: *STATES.get(read.state as usize)?,
        places: read.places.iter().filter_map(seen).collect(),
        probes: read.probes.iter().filter_map(probe).collect(),
        word: read.word.as_ref().and_then(force),
        name: read.name,
        site: read.site,
    })
}

#[cfg(test)]
mod tests;
