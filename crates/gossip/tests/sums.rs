//! What the words of several processes come to.

mod common;

use beaconflow_gossip::*;
use common::*;

const LONG: Millis = 60_000;

/// Three processes, and a way for all to hear all.
fn three() -> [FactStore; 3] {
    ["a", "b", "c"].map(|name| process(name, 1))
}

fn hear_all(all: &mut [FactStore; 3], now: Millis) {
    for from in 0..3 {
        let bytes = all[from].gossip_payload(ROOM, now);
        for to in (0..3).filter(|to| *to != from && !bytes.is_empty()) {
            all[to].take(&bytes, now).expect("sound");
        }
    }
}

#[test]
fn failures_are_summed_capped_voided_and_forgotten() {
    let mut all = three();
    let fail = |one: &mut FactStore, now| drop(one.failed(5, LONG, now).expect("taken"));
    fail(&mut all[0], START);
    fail(&mut all[0], START + 1);
    fail(&mut all[1], START + 2);
    hear_all(&mut all, START + 10);
    assert!(
        all.iter()
            .all(|one| one.failures(5, START + 10) == 3 && one.failures(6, START + 10) == 0)
    );
    (0..9).for_each(|at| fail(&mut all[at as usize % 2], START + 20 + at));
    hear_all(&mut all, START + 40);
    assert!(
        all.iter()
            .all(|one| one.failures(5, START + 40) == MOST_FAILURES)
    );
    // A placement succeeds at the third.
    all[2].succeeded(5, LONG, START + 50).expect("taken");
    hear_all(&mut all, START + 60);
    assert!(all.iter().all(|one| one.failures(5, START + 60) == 0));
    // Whoever counts on does so from there.
    fail(&mut all[2], START + 70);
    fail(&mut all[0], START + 71);
    hear_all(&mut all, START + 80);
    assert!(
        all.iter().all(|one| one.failures(5, START + 80) == 2),
        "what was void stays so"
    );
    assert!(
        all.iter()
            .all(|one| one.failures(5, START + 71 + LONG) == 0),
        "forgotten"
    );
}

#[test]
fn what_cold_servers_were_sent_is_summed_and_fades() {
    let mut all = three();
    all[0]
        .record_slow_start_send("s1", 4.0, LONG, START)
        .expect("taken");
    all[1]
        .record_slow_start_send("s1", 2.0, LONG, START)
        .expect("taken");
    hear_all(&mut all, START);
    let sent = |all: &[FactStore; 3], now| all.each_ref().map(|one| one.slow_start_sent("s1", now));
    assert_eq!(sent(&all, START), [6.0; 3]);
    let half = START + Bounds::default().slow_start_half_life;
    assert_eq!(sent(&all, half), [3.0; 3]);
    all[0]
        .record_slow_start_send("s1", 1.0, LONG, half)
        .expect("taken");
    assert_eq!(
        all[0].slow_start_sent("s1", half),
        4.0,
        "its own count goes on from what is left"
    );
    hear_all(&mut all, half);
    hear_all(&mut all, half);
    assert_eq!(sent(&all, half), [4.0; 3], "heard twice, counted once");
}

#[test]
fn standing_is_what_most_evidence_says_aged_and_bounded() {
    let mut all = three();
    let saw = |one: &mut FactStore, seen, weight, now| {
        one.saw("s1", Evidence { seen, weight }, LONG, now)
            .expect("taken");
    };
    saw(&mut all[0], Seen::Hung, 0.4, START);
    hear_all(&mut all, START);
    assert_eq!(all[1].assess_server("s1", START), None, "thin");
    // One that shouts is not heard above two others.
    saw(&mut all[0], Seen::Hung, 1_000.0, START);
    saw(&mut all[1], Seen::Well, 3.0, START);
    saw(&mut all[2], Seen::Well, 3.0, START);
    hear_all(&mut all, START);
    let told = ServerAssessment {
        seen: Seen::Well,
        weight: 6.0,
        against: 4.0,
        witnesses: 3,
        age: 0,
    };
    assert!(
        all.iter()
            .all(|one| one.assess_server("s1", START) == Some(told))
    );
    // The newer word of one process replaces its older one, and evidence fades.
    let half = Bounds::default().evidence_half;
    saw(&mut all[1], Seen::Hung, 1.0, START + half);
    hear_all(&mut all, START + half);
    let told = ServerAssessment {
        seen: Seen::Hung,
        weight: 3.0,
        against: 1.5,
        witnesses: 3,
        age: 0,
    };
    assert_eq!(all[2].assess_server("s1", START + half), Some(told));
    assert_eq!(
        all[2].assess_server("s1", START + half + 4 * half),
        None,
        "too old to say anything"
    );
}
