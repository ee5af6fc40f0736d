//! The ordinary path, on which no override concerns anybody, takes no memory.

use beaconflow_overrides::{ServerAdjustment, Set};

#[test]
fn a_look_without_overrides_takes_no_memory() {
    let set = Set::new(30_000);
    let taken = allocation_counter::measure(|| {
        for key in 0..1_000_u64 {
            assert!(!set.has_pins());
            assert!(set.pin(Some(key), Some(key), 5).is_none());
            assert_eq!(set.server("server-1", key), ServerAdjustment::AS_LISTED);
        }
    });
    assert_eq!(taken.count_total, 0, "{taken:?}");
}
