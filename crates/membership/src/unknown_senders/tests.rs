use super::*;

#[test]
fn reports_address_once_a_minute() {
    let mut senders = UnknownSenders::default();
    let from: SocketAddr = "127.0.0.1:9".parse().expect("the address is valid");
    let events = (0..180_000)
        .step_by(100)
        .filter_map(|now| senders.record_refusal(from, Refusal::Malformed, now));
    let counts = events.map(|event| match event {
        Event::DatagramsRefused { count, .. } => count,
        other => panic!("expected a report of refused datagrams, got {other:?}"),
    });
    assert_eq!(counts.collect::<Vec<_>>(), [1, 600, 600]);
}

#[test]
fn limits_addresses_during_flood() {
    let mut senders = UnknownSenders::default();
    let from = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let events = (1..10_000)
        .filter(|n| {
            senders
                .record_refusal(from(*n), Refusal::NoKey, 5)
                .is_some()
        })
        .count();
    assert_eq!((events, senders.0.len()), (MAX_ADDRESSES, MAX_ADDRESSES));
    assert!(
        senders
            .record_refusal(from(9_999), Refusal::NoKey, 5 + REPORT_INTERVAL_MS)
            .is_some()
    );
}
