//! A process on a virtual clock that records its actions.

// Each test file uses only some of these.
#![allow(dead_code)]

use beaconflow_edge::*;

pub const STEP: Millis = 100;

/// Configuration of a process of the site `moy`.
pub fn config(name: &str) -> Config {
    let config = Config {
        site: "moy".into(),
        name: name.into(),
        seed: 7,
        processes: 15,
        ..Config::default()
    };
    assert_eq!(config.validate(), Ok(()));
    config
}

/// A process, its clock, and the actions since it started.
pub struct TestProcess {
    pub edge: Edge,
    pub now: Millis,
    pub actions: Vec<(Millis, Action)>,
}

impl TestProcess {
    pub fn start(name: &str, start: Start) -> TestProcess {
        let now = 1_000_000;
        TestProcess {
            edge: Edge::new(config(name), now, start),
            now,
            actions: Vec::new(),
        }
    }

    /// A process that has been linked for two minutes.
    pub fn linked(name: &str) -> TestProcess {
        let mut process = TestProcess::start(name, Start::Fresh);
        process.run(120_000, |process, _| process.all_answer());
        assert_eq!(process.edge.state(), UplinkState::Linked);
        process.actions.clear();
        process
    }

    pub fn handle(&mut self, evidence: Evidence) {
        let mut new_actions = Vec::new();
        self.edge.handle(self.now, evidence, &mut new_actions);
        self.actions
            .extend(new_actions.into_iter().map(|action| (self.now, action)));
    }

    /// Advances the clock; `on_second` is called each second with the number of the second.
    pub fn run(&mut self, span: Millis, mut on_second: impl FnMut(&mut TestProcess, u64)) {
        for step in 0..span / STEP {
            if step % 10 == 0 {
                on_second(self, step / 10);
            }
            self.now += STEP;
            self.handle(Evidence::Tick);
        }
    }

    /// The watch on discovery, the store and two other sites answer.
    pub fn all_answer(&mut self) {
        self.handle(Evidence::WatchAlive);
        self.handle(Evidence::StoreAnswered { latency_ms: 5 });
        self.each_remote_peer(|name, site| Evidence::PeerMessage {
            name,
            site,
            is_bidirectional: true,
        });
    }

    /// No remote target answers.
    pub fn all_lost(&mut self) {
        self.handle(Evidence::WatchLost);
        self.handle(Evidence::StoreFailed);
        self.each_remote_peer(|name, site| Evidence::PeerSilent { name, site });
    }

    pub fn each_remote_peer(&mut self, evidence: impl Fn(String, String) -> Evidence) {
        for (name, site) in [("a1", "ard"), ("b1", "bray")] {
            self.handle(evidence(name.into(), site.into()));
        }
    }

    pub fn states(&self) -> Vec<UplinkState> {
        let to = |(_, action): &(Millis, Action)| match action {
            Action::StateChanged { to, .. } => Some(*to),
            _ => None,
        };
        self.actions.iter().filter_map(to).collect()
    }

    pub fn count(&self, matches: impl Fn(&Action) -> bool) -> usize {
        self.actions
            .iter()
            .filter(|(_, action)| matches(action))
            .count()
    }

    pub fn probes(&self) -> usize {
        self.count(|action| matches!(action, Action::Probe { .. }))
    }

    /// When the process first entered a state.
    pub fn entered_at(&self, state: UplinkState) -> Option<Millis> {
        let entered_at =
            |action: &Action| matches!(action, Action::StateChanged { to, .. } if *to == state);
        self.actions
            .iter()
            .find(|(_, action)| entered_at(action))
            .map(|(at, _)| *at)
    }

    pub fn report(&self) -> UplinkReport {
        self.edge.report(self.now)
    }

    pub fn set_operator_mode(&mut self, mode: UplinkMode, duration_ms: Millis) {
        let (set_at, expires_at) = (self.now, self.now + duration_ms);
        self.handle(Evidence::OperatorModeSet(OperatorMode {
            set_at,
            mode,
            expires_at,
            set_by: "ada".into(),
            reason: "cable work".into(),
        }));
    }
}
