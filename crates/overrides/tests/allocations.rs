//! Lookups without any override, the usual case for each request, allocate no memory.

use beaconflow_overrides::{OverrideSet, ServerAdjustment};

#[test]
fn allocates_nothing_without_overrides() {
    let set = OverrideSet::new(30_000);
    let allocated = allocation_counter::measure(|| {
        for key in 0..1_000_u64 {
            assert!(!set.has_pins());
            assert!(set.pin(Some(key), Some(key), 5).is_none());
            assert_eq!(
                set.server_adjustment("server-1", key),
                ServerAdjustment::AS_LISTED
            );
        }
    });
    assert_eq!(allocated.count_total, 0, "{allocated:?}");
}
