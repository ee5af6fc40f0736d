use super::*;
use proptest::prelude::*;

fn equals(view: RecordView<'_>, record: &Record) -> bool {
    let integers = [
        view.incarnation,
        view.epoch,
        view.version,
        view.origin_observed_at,
        view.valid_for,
        view.retained_for,
    ];
    let byte_fields = [view.key, view.name, view.value];
    integers
        == [
            record.incarnation,
            record.epoch,
            record.version,
            record.origin_observed_at,
            record.valid_for,
            record.retained_for,
        ]
        && byte_fields == [&record.key[..], &record.name, &record.value]
        && (view.kind, view.is_per_process) == (record.kind, record.is_per_process)
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..20)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    /// In-place decoding must agree with `prost`, also after one byte was changed: then both decode to the same
    /// values, or one of them fails.
    #[test]
    fn reads_in_place_as_prost_does(
        (key, name, value) in (bytes(), bytes(), bytes()),
        numbers in prop::array::uniform6(0..MAX_VERSION),
        (kind, is_per_process) in (any::<u32>(), any::<bool>()),
        (at, byte) in (any::<prop::sample::Index>(), any::<u8>()),
    ) {
        let [incarnation, epoch, version, origin_observed_at, valid_for, retained_for] = numbers;
        let record = Record { kind, key, is_per_process, name, incarnation, epoch, version, origin_observed_at, valid_for, retained_for, value };
        let mut raw = record.encode_to_vec();
        prop_assert!(RecordView::new(&raw).is_some_and(|view| equals(view, &record)));
        let at = at.index(raw.len().max(1));
        if let Some(target) = raw.get_mut(at) {
            *target = byte;
        }
        if let (Some(view), Ok(record)) = (RecordView::new(&raw), Record::decode(&raw[..])) {
            prop_assert!(equals(view, &record));
        }
    }
}
