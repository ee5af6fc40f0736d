//! One process on a virtual clock, and what it did.

// Each test file takes what it needs.
#![allow(dead_code)]

use beaconflow_edge::*;

pub const STEP: Millis = 100;

/// A configuration of the site `moy`.
pub fn config(name: &str) -> Config {
    let config = Config {
        site: "moy".into(),
        name: name.into(),
        seed: 7,
        processes: 15,
        ..Config::default()
    };
    assert_eq!(config.check(), Ok(()));
    config
}

/// A process, the time, and all that it has done since.
pub struct One {
    pub edge: Edge,
    pub now: Millis,
    pub did: Vec<(Millis, Action)>,
}

impl One {
    pub fn start(name: &str, start: Start) -> One {
        let now = 1_000_000;
        One {
            edge: Edge::new(config(name), now, start),
            now,
            did: Vec::new(),
        }
    }

    /// One that has been linked for two minutes.
    pub fn linked(name: &str) -> One {
        let mut one = One::start(name, Start::Anew);
        one.run(120_000, |one, _| one.all_answer());
        assert_eq!(one.edge.state(), State::Linked);
        one.did.clear();
        one
    }

    pub fn tell(&mut self, evidence: Evidence) {
        let mut actions = Vec::new();
        self.edge.handle(self.now, evidence, &mut actions);
        self.did
            .extend(actions.into_iter().map(|action| (self.now, action)));
    }

    /// Lets time pass; each second the evidence comes, with the number of the second.
    pub fn run(&mut self, span: Millis, mut each: impl FnMut(&mut One, u64)) {
        for step in 0..span / STEP {
            if step % 10 == 0 {
                each(self, step / 10);
            }
            self.now += STEP;
            self.tell(Evidence::Tick);
        }
    }

    /// Discovery's watch, the store and two other sites answer.
    pub fn all_answer(&mut self) {
        self.tell(Evidence::WatchStands);
        self.tell(Evidence::StoreAnswered { took_ms: 5 });
        self.sites(|name, site| Evidence::PeerHeard {
            name,
            site,
            both_ways: true,
        });
    }

    /// Nothing beyond the link does.
    pub fn all_lost(&mut self) {
        self.tell(Evidence::WatchLost);
        self.tell(Evidence::StoreFailed);
        self.sites(|name, site| Evidence::PeerSilent { name, site });
    }

    pub fn sites(&mut self, what: impl Fn(String, String) -> Evidence) {
        for (name, site) in [("a1", "ard"), ("b1", "bray")] {
            self.tell(what(name.into(), site.into()));
        }
    }

    pub fn states(&self) -> Vec<State> {
        let to = |(_, action): &(Millis, Action)| match action {
            Action::State { to, .. } => Some(*to),
            _ => None,
        };
        self.did.iter().filter_map(to).collect()
    }

    pub fn count(&self, of: impl Fn(&Action) -> bool) -> usize {
        self.did.iter().filter(|(_, action)| of(action)).count()
    }

    pub fn probes(&self) -> usize {
        self.count(|action| matches!(action, Action::Probe { .. }))
    }

    /// When it first came to a state.
    pub fn came(&self, state: State) -> Option<Millis> {
        let came = |action: &Action| matches!(action, Action::State { to, .. } if *to == state);
        self.did
            .iter()
            .find(|(_, action)| came(action))
            .map(|(at, _)| *at)
    }

    pub fn says(&self) -> UplinkReport {
        self.edge.report(self.now)
    }

    pub fn word(&mut self, force: Force, for_ms: Millis) {
        let (given_at, ends_at) = (self.now, self.now + for_ms);
        self.tell(Evidence::OperatorsWord(OperatorMode {
            given_at,
            force,
            ends_at,
            who: "ada".into(),
            why: "cable work".into(),
        }));
    }
}
