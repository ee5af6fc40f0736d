use super::*;

#[test]
fn a_judgement_is_read_back_by_the_clock_of_whoever_hears_it() {
    let judgement = |now: u64| Judgement {
        witnessed_ms: now,
        judged: Judged::Well,
        weight: 3,
        since_ms: now - 40,
        before: Some(Before { until_ms: now - 50, judged: Judged::Hung, weight: 2 }),
        started_ms: 77,
        server: "s1".into(),
        origin: "a".into(),
    };
    assert_eq!(read_judged(&judge(&judgement(1_000)), 90_000), Some(judgement(90_000)));
    assert_eq!(read_judged(b"\xff", 0), None);
    assert_eq!(read_loan(&lend("a", 3, 0.5)), Some(("a".into(), 3, 0.5)));
}

#[test]
fn what_a_process_sees_of_the_uplink_is_read_back_and_has_grown_older() {
    let word = Word {
        given_at: 5,
        force: Force::Island,
        ends_at: 9,
        who: "ada".into(),
        why: "the line is being dug up".into(),
    };
    let says = |age| Says {
        name: "a".into(),
        site: "north".into(),
        state: State::Islanded,
        places: vec![
            (Place::Discovery, Seen::Lost, 40 + age),
            (Place::Site("south".into()), Seen::Hears, age),
        ],
        probes: vec![(Place::Store, 3, 70 + age)],
        word: Some(word.clone()),
    };
    assert_eq!(hear_uplink(&say_uplink(&says(0)), 0), Some(says(0)));
    assert_eq!(hear_uplink(&say_uplink(&says(0)), 100), Some(says(100)));
}
