//! Slots that are left free at a backend server.

use rstest::rstest;
use sassafrasgap::admission::usable_slots;

/// Three backend servers with 45 slots each limit the throughput of a call chain. They slow down by
/// a third from 95% of their slots on. With 43 slots in use, their throughput fell as the load
/// rose.
#[rstest]
fn no_backend_server_is_filled_to_where_it_slows_down() {
    for slots in 5..2_000 {
        let used = usable_slots(slots);
        assert!(used * 100 < slots * 95, "{used} of {slots}");
        assert!(used * 100 >= slots * 80, "{used} of {slots}");
    }
}

/// With a few slots each one is a large part, so all are used.
#[rstest]
#[case(0)]
#[case(1)]
#[case(4)]
fn with_few_slots_all_are_used(#[case] slots: u32) {
    assert_eq!(usable_slots(slots), slots);
}
