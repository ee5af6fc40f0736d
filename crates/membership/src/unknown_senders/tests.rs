use super::*;

#[test]
fn an_address_is_named_once_a_minute() {
    let mut strangers = UnknownSenders::default();
    let from: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let told = (0..180_000)
        .step_by(100)
        .filter_map(|now| strangers.refused(from, Refusal::Cut, now));
    let counts = told.map(|event| match event {
        Event::Refused { count, .. } => count,
        other => panic!("{other:?}"),
    });
    assert_eq!(counts.collect::<Vec<_>>(), [1, 600, 600]);
}

#[test]
fn a_flood_of_addresses_is_bounded() {
    let mut strangers = UnknownSenders::default();
    let from = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let told = (1..10_000)
        .filter(|n| strangers.refused(from(*n), Refusal::NoKey, 5).is_some())
        .count();
    assert_eq!((told, strangers.0.len()), (MOST, MOST));
    assert!(
        strangers
            .refused(from(9_999), Refusal::NoKey, 5 + TELL_EVERY)
            .is_some()
    );
}
