//! The pressure on a service whose targets differ.

use rstest::rstest;
use sassafrasgap::routing::TargetPressure;

/// Guards against root requests that are refused on behalf of a service of which a few targets
/// advertise a low rate while the others have room.
#[rstest]
#[case::all_alike(&[(900, 121), (300, 121)], Some(600))]
#[case::half_limited(&[(2_000, 2), (2_000, 2), (100, 121), (100, 121)], Some(130))]
#[case::limited_beside_one_without_report(&[(2_000, 2), (0, 121)], Some(32))]
#[case::all_limited(&[(2_000, 2), (1_000, 2)], Some(1_500))]
#[case::all_limited_beside_one_without_report(&[(2_000, 2), (2_000, 2), (0, 2)], Some(1_333))]
#[case::no_reports(&[], None)]
fn a_target_counts_by_its_slots(#[case] reports: &[(u32, u32)], #[case] expected: Option<u32>) {
    let reports = reports.iter();
    let targets = reports.map(|&(permille, slots)| TargetPressure { permille, slots });
    assert_eq!(TargetPressure::of_service(targets), expected);
}
