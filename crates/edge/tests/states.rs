//! The states: what takes a site from one to the next, and what does not.

mod support;

use beaconflow_edge::*;
use support::One;

use State::{Doubtful, Islanded, Linked, Rejoining};

#[test]
fn a_lost_link_makes_an_island_soon_and_its_return_ends_it_by_a_merge() {
    let mut one = One::linked("n1");
    let lost = one.now;
    one.run(20_000, |one, _| one.all_lost());
    assert_eq!(one.states(), [Doubtful, Islanded]);
    let took = one.came(Islanded).expect("an island") - lost;
    assert!(
        (2_000..=6_000).contains(&took),
        "confirmed, and soon: {took}"
    );
    one.run(60_000, |one, _| one.all_lost());
    let back = one.now;
    one.run(10_000, |one, _| one.all_answer());
    assert_eq!(
        one.states(),
        [Doubtful, Islanded, Rejoining],
        "not linked before the merge is done"
    );
    assert!(
        (3_000..=5_000).contains(&(one.came(Rejoining).expect("back") - back)),
        "steady first"
    );
    assert_eq!(
        one.count(|action| *action == Action::Rejoin(Step::Merge)),
        1
    );
    one.tell(Evidence::Done(Step::Merge));
    one.run(2_000, |one, _| one.all_answer());
    assert_eq!(one.edge.state(), Linked);
}

#[test]
fn one_lost_watch_is_no_island_nor_is_discovery_down_for_all() {
    for asks in [false, true] {
        let mut one = One::linked("n1");
        one.run(600_000, |one, _| {
            one.tell(Evidence::WatchLost);
            if asks {
                one.tell(Evidence::DiscoveryFailed);
            }
            one.sites(|name, site| Evidence::PeerHeard {
                name,
                site,
                both_ways: true,
            });
        });
        assert_eq!(one.states(), [], "sites beyond are heard");
        // Nobody else is heard of at all: a doubt, that ends, and does not come back each time.
        let mut one = One::start("n1", Start::Anew);
        one.run(30_000, |one, _| one.tell(Evidence::WatchStands));
        one.did.clear();
        one.run(600_000, |one, _| {
            one.tell(Evidence::WatchLost);
            if asks {
                one.tell(Evidence::DiscoveryFailed);
            }
        });
        assert_eq!(one.states(), [Doubtful, Linked], "asks {asks}");
    }
}

#[test]
fn a_link_that_flaps_changes_little_and_moves_nobody() {
    // Every two seconds, and every second: too short for any loss to be confirmed.
    for period in [4, 2] {
        let mut one = One::linked("n1");
        one.run(60_000, |one, second| {
            if second % period < period / 2 {
                one.all_lost()
            } else {
                one.all_answer()
            }
        });
        assert_eq!(one.states(), [Doubtful, Islanded], "{:?}", one.did);
        assert_eq!(one.count(|action| matches!(action, Action::Rejoin(_))), 0);
        assert!(one.probes() <= 80, "{} probes", one.probes());
        // It comes back when it has stood for long enough.
        one.run(30_000, |one, _| one.all_answer());
        assert_eq!(one.states(), [Doubtful, Islanded, Rejoining]);
    }
}

#[test]
fn a_link_that_carries_one_way_is_lost() {
    let mut one = One::linked("n1");
    one.run(30_000, |one, _| {
        one.tell(Evidence::WatchLost);
        one.tell(Evidence::StoreFailed);
        one.sites(|name, site| Evidence::PeerHeard {
            name,
            site,
            both_ways: false,
        });
    });
    assert_eq!(one.states(), [Doubtful, Islanded]);
    let lines = one.edge.snapshot(one.now).lines().join("\n");
    assert!(
        lines.contains("site ard was heard but does not hear"),
        "{lines}"
    );
}

#[test]
fn a_slow_link_is_no_island() {
    let mut one = One::linked("n1");
    // Asks run into their deadlines; what is patient is answered late.
    one.run(300_000, |one, second| {
        one.tell(Evidence::WatchLost);
        one.tell(Evidence::DiscoveryFailed);
        if second % 4 == 0 {
            one.tell(Evidence::StoreAnswered { took_ms: 3_500 });
        }
    });
    assert_eq!(one.states(), []);
    assert!(
        one.edge
            .snapshot(one.now)
            .lines()
            .iter()
            .any(|line| line.contains("slowly: 3.5 s"))
    );
}

#[test]
fn a_restart_on_the_island_inherits_the_age_of_its_list() {
    let mut one = One::linked("n1");
    one.run(30_000, |one, _| one.all_lost());
    let confirmed_at = one.edge.snapshot(one.now).list_ms.map(|age| one.now - age);
    let memory = Start::Remembered {
        state: Islanded,
        confirmed_at,
        set_operator_mode: None,
    };
    let mut again = One::start("n1", memory);
    again.edge = Edge::new(
        support::config("n1"),
        one.now,
        Start::Remembered {
            state: Islanded,
            confirmed_at,
            set_operator_mode: None,
        },
    );
    again.now = one.now;
    assert_eq!(again.edge.state(), Islanded, "with no evidence at all");
    assert_eq!(again.edge.list_age(again.now), one.edge.list_age(one.now));
    let trust = again.edge.config().trust_for_ms;
    again.run(60_000, |one, _| one.all_lost());
    assert_eq!(again.states(), []);
    assert!(again.edge.trusted(confirmed_at.expect("known") + trust));
    assert!(!again.edge.trusted(confirmed_at.expect("known") + trust + 1));
    // A memory from the future, after the clock was set back, is not trusted at all.
    let confirmed_at = Some(again.now + 86_400_000);
    let memory = Start::Remembered {
        state: Islanded,
        confirmed_at,
        set_operator_mode: None,
    };
    assert!(!Edge::new(support::config("n1"), again.now, memory).trusted(again.now));
}

#[test]
fn an_island_that_outlives_its_trust_answers_honestly_and_what_is_seen_well_goes_on() {
    let mut one = One::linked("n1");
    one.run(30_000, |one, _| one.all_lost());
    let place = |well| Decision::Place {
        site: "moy".into(),
        listed: true,
        well,
    };
    let tenant = |read_ms| Decision::Tenant { read_ms };
    let yes =
        |one: &One, now, decision: &Decision| one.edge.may(now, decision) == Permission::Granted;
    assert!(yes(&one, one.now, &place(false)) && yes(&one, one.now, &tenant(Some(60_000))));
    let later = one.now + one.edge.config().trust_for_ms;
    assert!(
        !yes(&one, later, &place(false)),
        "nothing says that this one stands"
    );
    assert!(yes(&one, later, &place(true)) && yes(&one, later, &Decision::GoOn));
    assert!(!yes(&one, one.now, &tenant(Some(3_600_001))) && !yes(&one, one.now, &tenant(None)));
}

#[test]
fn what_may_not_be_decided_alone_is_refused_with_a_reason_and_only_on_the_island() {
    let refused = [
        Decision::Tenant { read_ms: None },
        Decision::ChangeTenant,
        Decision::ChangeShare,
        Decision::Override { site: "ard".into() },
        Decision::EndOverride { site: "ard".into() },
        Decision::Place {
            site: "moy".into(),
            listed: false,
            well: true,
        },
        Decision::Place {
            site: "ard".into(),
            listed: true,
            well: true,
        },
        Decision::MoveForBalance,
        Decision::ForgetServer,
        Decision::Ask {
            place: Place::Store,
        },
    ];
    let granted = [
        Decision::GoOn,
        Decision::MoveOff,
        Decision::Override { site: "moy".into() },
    ];
    let mut one = One::linked("n1");
    assert!(
        refused
            .iter()
            .chain(&granted)
            .all(|what| one.edge.may(one.now, what) == Permission::Granted)
    );
    one.run(30_000, |one, _| one.all_lost());
    for what in &refused {
        let verdict = one.edge.may(one.now, what);
        assert!(
            matches!(verdict, Permission::Denied { why, again_ms: 1.. } if !why.is_empty()),
            "{what:?}: {verdict:?}"
        );
    }
    assert!(
        granted
            .iter()
            .all(|what| one.edge.may(one.now, what) == Permission::Granted)
    );
}

#[test]
fn discovery_that_is_moved_is_asked_at_once_and_the_island_lasts_until_it_answers() {
    let mut one = One::linked("n1");
    one.run(200_000, |one, _| one.all_lost());
    one.did.clear();
    one.tell(Evidence::DiscoveryMoved);
    let asked = Action::Probe {
        place: Place::Discovery,
    };
    assert!(
        one.did.contains(&(one.now, asked)),
        "at once: {:?}",
        one.did
    );
    // However often somebody says so.
    for _ in 0..50 {
        one.tell(Evidence::DiscoveryMoved);
        one.run(100, |_, _| {});
    }
    assert!(
        one.probes() <= 12,
        "{} in five seconds, of two places",
        one.probes()
    );
    one.tell(Evidence::DiscoveryFailed);
    one.run(20_000, |one, _| one.tell(Evidence::StoreFailed));
    assert_eq!(one.edge.state(), Islanded);
    one.run(20_000, |one, _| {
        one.tell(Evidence::DiscoveryAnswered { took_ms: 9 })
    });
    assert_eq!(one.edge.state(), Rejoining);
}

#[test]
fn the_operators_word_goes_before_the_evidence_each_way_until_its_end() {
    let mut one = One::linked("n1");
    one.word(Force::Island, 60_000);
    assert_eq!(one.edge.state(), Islanded, "at once");
    one.run(58_000, |one, _| one.all_answer());
    assert_eq!((one.edge.state(), one.probes()), (Islanded, 0));
    assert!(
        one.edge
            .snapshot(one.now)
            .lines()
            .join("\n")
            .contains("ada says: this site is an island (cable work)")
    );
    one.run(10_000, |one, _| one.all_answer());
    assert_eq!(
        one.edge.state(),
        Rejoining,
        "its end is no leap: what changed is merged"
    );
    one.tell(Evidence::Done(Step::Merge));
    one.run(60_000, |one, _| one.all_answer());
    assert_eq!(one.edge.state(), Linked);

    one.word(Force::Linked, 60_000);
    one.run(58_000, |one, _| one.all_lost());
    assert_eq!(one.edge.state(), Linked);
    one.run(20_000, |one, _| one.all_lost());
    assert_eq!(one.edge.state(), Islanded, "the evidence decides again");
    one.word(Force::Linked, 60_000);
    assert_eq!(one.edge.state(), Rejoining);
    one.run(31_000, |one, _| one.all_lost());
    assert_eq!(
        one.edge.state(),
        Linked,
        "after its bound, though no list came"
    );
    one.word(Force::Automatic, 60_000);
    one.run(30_000, |one, _| one.all_lost());
    assert_eq!(one.edge.state(), Islanded, "taken back before its end");
}

#[test]
fn a_word_spreads_over_the_site_and_the_latest_holds_in_any_order() {
    let mut one = One::linked("n1");
    let mut other = One::linked("n2");
    one.word(Force::Island, 60_000);
    let early = one.says();
    one.now += 10;
    one.word(Force::Automatic, 60_000);
    let late = one.says();
    for says in [late.clone(), early, late] {
        other.tell(Evidence::PeerSays(says));
    }
    assert_eq!(other.says().operator_mode, one.says().operator_mode);
    assert_eq!(other.edge.state(), Linked);
}

#[test]
fn a_process_that_slept_does_not_take_its_sleep_for_silence() {
    let mut one = One::linked("n1");
    // A moment's loss, and then nothing is heard since nobody listens.
    one.all_lost();
    one.now += 15_000;
    one.tell(Evidence::Tick);
    let said = one.count(|action| matches!(action, Action::Say(text) if text.contains("for 15 s")));
    assert_eq!(said, 1);
    assert_eq!(
        one.edge.snapshot(one.now).odds,
        -20,
        "what was seen before says nothing"
    );
    one.run(60_000, |one, _| one.all_answer());
    assert_eq!(one.states(), [Doubtful, Linked]);
}

#[test]
fn halves_of_a_site_that_meet_again_agree_by_their_own_eyes() {
    // The one half has the uplink, the other has neither it nor the first half.
    let (mut near, mut far) = (One::linked("n1"), One::linked("n2"));
    far.run(60_000, |one, _| one.all_lost());
    near.run(60_000, |one, _| one.all_answer());
    assert_eq!((near.edge.state(), far.edge.state()), (Linked, Islanded));
    // They meet; the far one's own uplink is dead still. A word of the near one makes it ask, now and then.
    far.did.clear();
    for _ in 0..120 {
        near.run(1_000, |one, _| one.all_answer());
        let (here, there) = (near.says(), far.says());
        far.tell(Evidence::PeerSays(here));
        near.tell(Evidence::PeerSays(there));
        far.run(1_000, |one, _| one.all_lost());
    }
    assert_eq!(
        (near.edge.state(), far.edge.state()),
        (Linked, Islanded),
        "a word alone changes neither"
    );
    assert!(far.edge.snapshot(far.now).alone);
    assert!(
        (1..=25).contains(&far.probes()),
        "asked {} times in two minutes",
        far.probes()
    );
    far.run(30_000, |one, _| one.all_answer());
    assert_eq!(far.edge.state(), Rejoining);
}

#[test]
fn a_process_cut_off_alone_waits_for_its_site_and_then_says_so() {
    let (mut near, mut far) = (One::linked("n1"), One::linked("n2"));
    for _ in 0..40 {
        near.run(1_000, |one, _| one.all_answer());
        let says = near.says();
        far.tell(Evidence::PeerSays(says));
        far.run(1_000, |one, _| one.all_lost());
    }
    assert_eq!(far.edge.state(), Islanded, "in the end by its own evidence");
    let came = far.came(Islanded).expect("islanded") - far.came(Doubtful).expect("in doubt");
    assert!(came >= 20_000, "not before its patience is over: {came}");
    assert!(
        far.edge
            .snapshot(far.now)
            .lines()
            .join("\n")
            .contains("this process alone is cut off")
    );
}

#[test]
fn a_rejoining_without_a_list_ends_by_its_bound_and_the_merge_comes_with_the_list() {
    let mut one = One::linked("n1");
    one.run(60_000, |one, _| one.all_lost());
    let answers = |one: &mut One, _| {
        one.tell(Evidence::StoreAnswered { took_ms: 5 });
        one.tell(Evidence::DiscoveryFailed);
    };
    one.run(60_000, answers);
    assert_eq!(one.states(), [Doubtful, Islanded, Rejoining, Linked]);
    let spent = one.came(Linked).expect("linked") - one.came(Rejoining).expect("rejoining");
    assert_eq!(spent, one.edge.config().rejoin_ms);
    let merges = |one: &One| one.count(|action| *action == Action::Rejoin(Step::Merge));
    assert_eq!(merges(&one), 0);
    one.tell(Evidence::Confirmed { at: one.now });
    assert_eq!(merges(&one), 1, "late, but once");
}

#[test]
fn the_next_one_asks_when_the_one_before_is_silent() {
    let mut one = One::linked("n2");
    one.run(20_000, |one, _| one.all_lost());
    assert_eq!(one.edge.state(), Islanded);
    // Those before it have asked, so that it waits; then nothing is heard of them any more.
    let probes: Vec<(Place, u32, Millis)> = [Place::Discovery, Place::Store]
        .map(|place| (place, 9, 0))
        .to_vec();
    let peers = ["n1", "n3", "n4", "n5", "n6"];
    for _ in 0..30 {
        for name in peers {
            let (site, probes) = ("moy".into(), probes.clone());
            let says = UplinkReport {
                name: name.into(),
                site,
                state: Islanded,
                places: Vec::new(),
                probes,
                operator_mode: None,
            };
            one.tell(Evidence::PeerSays(says));
        }
        one.run(1_000, |one, _| one.all_lost());
    }
    let asked = |one: &One| {
        let of = |place: &Place| matches!(place, Place::Discovery | Place::Store);
        one.count(|action| matches!(action, Action::Probe { place } if of(place)))
    };
    one.did.clear();
    let silent = one.now;
    one.run(30_000, |one, _| one.all_lost());
    assert!(asked(&one) >= 1, "nobody else does");
    let first = one
        .did
        .iter()
        .find(|(_, action)| matches!(action, Action::Probe { .. }))
        .map(|(at, _)| at - silent);
    assert!(
        first.is_some_and(|after| after >= 2_000),
        "not before the others must have: {first:?}"
    );
}

#[test]
fn all_that_is_wrong_with_a_configuration_is_named_at_once() {
    let sound = support::config("n1");
    let wrong = Config {
        site: String::new(),
        name: "a\nb".into(),
        processes: 0,
        fresh_ms: 0,
        confirm_ms: 30_000,
        steady_ms: u64::MAX,
        answer_timeout_ms: 1_000,
        rejoin_ms: 1_000,
        slow_ms: 1,
        trust_for_ms: 0,
        tenants_for_ms: u64::MAX,
        probe_base_ms: 50_000,
        spread_ms: 1_001,
        moves_per_s: f64::NAN,
        ..sound
    };
    let mut named: Vec<&str> = wrong
        .check()
        .expect_err("all of it")
        .iter()
        .map(|fault| fault.field)
        .collect();
    named.dedup();
    let expected = "site name processes fresh steady slow trust_for tenants_for damp_cap patience rejoin probe_cap \
                    spread moves_per_s";
    assert_eq!(named.join(" "), expected);
}

#[test]
fn a_loss_of_a_moment_within_a_doubt_is_no_island() {
    let mut one = One::linked("n1");
    one.run(8_000, |one, second| {
        one.tell(Evidence::WatchLost);
        one.tell(if second < 7 {
            Evidence::Tick
        } else {
            Evidence::StoreFailed
        });
    });
    assert_eq!(one.states(), [Doubtful]);
    // All is lost for half a second.
    one.all_lost();
    one.run(500, |_, _| {});
    one.run(5_000, |one, _| one.all_answer());
    assert_eq!(one.states(), [Doubtful, Linked]);
}

#[test]
fn a_link_that_comes_back_for_just_long_enough_changes_little() {
    let mut one = One::linked("n1");
    one.run(600_000, |one, second| {
        if second % 24 < 3 {
            one.all_lost()
        } else {
            one.all_answer()
        }
        one.tell(Evidence::Done(Step::Merge));
    });
    let at: Vec<Millis> = one
        .did
        .iter()
        .filter(|(_, did)| matches!(did, Action::State { .. }))
        .map(|(at, _)| *at)
        .collect();
    assert!(at.len() > 3, "it is not left unseen: {at:?}");
    assert!(
        at.windows(8).all(|window| window[7] - window[0] >= 60_000),
        "{at:?}"
    );
}

#[test]
fn a_setting_changed_on_the_island_holds_at_once_and_changes_no_state() {
    let mut one = One::linked("n1");
    one.run(30_000, |one, _| one.all_lost());
    let later = one.now + 5 * 3_600_000;
    assert!(!one.edge.trusted(later));
    one.edge.set_up(Config {
        trust_for_ms: 6 * 3_600_000,
        site: "ard".into(),
        ..support::config("n9")
    });
    assert!(one.edge.trusted(later));
    assert_eq!(
        (
            one.edge.state(),
            one.says().name.as_str(),
            one.says().site.as_str()
        ),
        (Islanded, "n1", "moy")
    );
}

#[test]
fn a_merge_of_a_former_rejoining_ends_none() {
    let mut one = One::linked("n1");
    one.run(30_000, |one, _| one.all_lost());
    one.run(12_000, |one, _| one.all_answer());
    one.run(60_000, |one, _| one.all_lost());
    let sites = |one: &mut One, _| {
        one.sites(|name, site| Evidence::PeerHeard {
            name,
            site,
            both_ways: true,
        })
    };
    one.run(10_000, sites);
    assert_eq!(
        one.states(),
        [Doubtful, Islanded, Rejoining, Islanded, Rejoining]
    );
    one.tell(Evidence::Done(Step::Merge));
    one.run(10_000, sites);
    assert_eq!(one.edge.state(), Rejoining, "no list has come since");
}

#[test]
fn processes_that_rejoin_in_one_moment_ask_one_after_the_other() {
    let asks = |n: u64| {
        let config = Config {
            seed: n,
            processes: 90,
            ..support::config(&format!("n{n}"))
        };
        let mut one = One::linked("n1");
        one.edge = Edge::new(config, one.now, Start::Anew);
        one.word(Force::Island, 1_000);
        one.run(6_000, |one, _| one.all_answer());
        let of = |(_, action): &(Millis, Action)| match action {
            Action::Rejoin(Step::Ask {
                place: Place::Discovery,
                in_ms,
            }) => Some(*in_ms),
            _ => None,
        };
        one.did.iter().find_map(of).expect("it asks for the list")
    };
    let mut all: Vec<Millis> = (0..30).map(asks).collect();
    all.sort_unstable();
    assert!(all[29] <= 900 && all[29] - all[0] >= 450, "{all:?}");
    assert!(
        all.windows(10).all(|ten| ten[9] - ten[0] >= 90),
        "ten of thirty at once: {all:?}"
    );
}
