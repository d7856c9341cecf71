//! How hard calls press on a service whose targets differ.

use rstest::rstest;
use sassafrasgap::routing::TargetPressure;

const ALL: u32 = 1_000;

fn target(permille: u32, usable_permille: u32) -> TargetPressure {
    TargetPressure {
        permille,
        usable_permille,
    }
}

/// Guards against roots that are refused for a service of which a few targets name a low rate while the others
/// have room.
#[rstest]
#[case::all_alike(&[(900, ALL), (300, ALL)], Some(600))]
#[case::half_limited(&[(2_000, 12), (2_000, 12), (100, ALL), (100, ALL)], Some(122))]
#[case::all_limited(&[(2_000, 12), (1_000, 12)], Some(1_500))]
#[case::nobody_tells(&[], None)]
fn a_target_counts_by_what_it_can_use(#[case] told: &[(u32, u32)], #[case] expected: Option<u32>) {
    let targets = told
        .iter()
        .map(|(permille, usable)| target(*permille, *usable));
    assert_eq!(TargetPressure::of_service(targets), expected);
}
