use super::*;
use proptest::prelude::*;

fn same(view: View<'_>, record: &Record) -> bool {
    let numbers = [
        view.incarnation,
        view.epoch,
        view.version,
        view.origin_time,
        view.valid_for,
        view.retained_for,
    ];
    let parts = [view.key, view.name, view.value];
    numbers
        == [
            record.incarnation,
            record.epoch,
            record.version,
            record.origin_time,
            record.valid_for,
            record.retained_for,
        ]
        && parts == [&record.key[..], &record.name, &record.value]
        && (view.kind, view.owned) == (record.kind, record.owned)
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..20)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    /// What is read where it lies is what prost wrote, also with a byte changed: then both read the same, or one
    /// of them nothing.
    #[test]
    fn reading_in_place_agrees_with_prost(
        (key, name, value) in (bytes(), bytes(), bytes()),
        numbers in prop::array::uniform6(0..LAST_VERSION),
        (kind, owned) in (any::<u32>(), any::<bool>()),
        (at, byte) in (any::<prop::sample::Index>(), any::<u8>()),
    ) {
        let [incarnation, epoch, version, origin_time, valid_for, retained_for] = numbers;
        let record = Record { kind, key, owned, name, incarnation, epoch, version, origin_time, valid_for, retained_for, value };
        let mut raw = record.encode_to_vec();
        prop_assert!(View::new(&raw).is_some_and(|view| same(view, &record)));
        let at = at.index(raw.len().max(1));
        if let Some(place) = raw.get_mut(at) {
            *place = byte;
        }
        if let (Some(view), Ok(record)) = (View::new(&raw), Record::decode(&raw[..])) {
            prop_assert!(same(view, &record));
        }
    }
}
