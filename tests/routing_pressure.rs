//! The pressure on a service whose targets differ.

use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;
use sassafrasgap::placement::DomainLoad;
use sassafrasgap::placement::DomainShare;
use sassafrasgap::placement::DomainSplit;
use sassafrasgap::placement::PlacementConf;
use sassafrasgap::placement::ServicePlacement;
use sassafrasgap::placement::split;
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

fn load(domain: &str, pressure_permille: u32, slots: u32) -> DomainLoad {
    DomainLoad {
        domain: Name::from(domain),
        demand_per_s: 95.0,
        capacity_per_s: 100.0,
        slots,
        pressure_permille,
    }
}

/// A placement that sends `permille` of the calls to `b` and none to `c`.
fn placement(loads: &[DomainLoad], permille: u16) -> ServicePlacement {
    let share = DomainShare {
        domain: Name::from("b"),
        permille,
    };
    let split = DomainSplit {
        kept_permille: 1_000 - permille,
        shares: vec![share],
    };
    ServicePlacement::new(TimeMs(0), split, loads.to_vec(), PlacementConf::default())
}

/// Guards against root requests that are refused because the only target of the own domain is full,
/// while the other domains have room and the split sends calls there.
#[rstest]
#[case::own_reports_replace_the_own_load(Some(1_040), &[], Some(560))]
#[case::without_own_reports_the_load_counts(None, &[], Some(500))]
#[case::an_unreachable_domain_is_left_out(Some(1_040), &["c"], Some(613))]
#[case::the_receiver_is_unreachable_and_the_own_domain_above_stay(Some(1_040), &["b"], Some(720))]
#[case::the_own_domain_is_always_reachable(Some(1_040), &["a"], Some(560))]
fn a_domain_counts_by_its_slots(
    #[case] own_permille: Option<u32>,
    #[case] unreachable: &[&str],
    #[case] expected: Option<u32>,
) {
    let loads = [
        load("a", 800, 100),
        load("b", 400, 200),
        load("c", 400, 100),
    ];
    let unreachable: Vec<Name> = unreachable.iter().map(|name| Name::from(*name)).collect();
    let pressure =
        TargetPressure::of_domains("a", own_permille, &placement(&loads, 300), &unreachable);
    assert_eq!(pressure, expected);
}

/// `stay` is 0.9 of a domain's capacity, which is 100. Guards against a changed pressure for services
/// whose calls all stay in domains with room: it comes from the targets' own reports, as without a
/// placement. Also guards against root requests that are refused for the own target alone, while one
/// domain is above `stay` and the split keeps its calls within the keep factor, and against requests
/// that are admitted by the older figures of other domains while there is no room in any.
#[rstest]
#[case::all_within_stay(&[("a", 90.0), ("b", 90.0)], 0, &[], None)]
#[case::own_domain_above_stay(&[("a", 91.0), ("b", 10.0)], 0, &[], Some(720))]
#[case::other_domain_above_stay(&[("a", 10.0), ("b", 91.0)], 0, &[], Some(720))]
#[case::only_an_unreachable_domain_above_stay(&[("a", 10.0), ("b", 91.0)], 0, &["b"], None)]
#[case::own_domain_is_always_reachable(&[("a", 91.0), ("b", 10.0)], 0, &["a"], Some(720))]
#[case::no_room_in_all_together(&[("a", 120.0), ("b", 80.0)], 0, &[], None)]
#[case::no_room_without_the_unreachable_domain(&[("a", 120.0), ("b", 10.0)], 300, &["b"], None)]
#[case::calls_leave_within_stay(&[("a", 10.0), ("b", 10.0)], 300, &[], Some(720))]
#[case::no_call_leaves_while_the_receiver_is_unreachable(
    &[("a", 10.0), ("b", 10.0)], 300, &["b"], None
)]
fn the_loads_count_while_a_domain_is_above_stay_or_calls_leave(
    #[case] demands: &[(&str, f32)],
    #[case] permille: u16,
    #[case] unreachable: &[&str],
    #[case] expected: Option<u32>,
) {
    let loads = demands.iter().map(|&(domain, demand_per_s)| DomainLoad {
        demand_per_s,
        ..load(domain, 400, 100)
    });
    let placement = placement(&loads.collect::<Vec<_>>(), permille);
    let unreachable: Vec<Name> = unreachable.iter().map(|name| Name::from(*name)).collect();
    let pressure = TargetPressure::of_domains("a", Some(1_040), &placement, &unreachable);
    assert_eq!(pressure, expected);
}

/// Guards against a domain without a target that lowers the mean, although no call can go there.
#[rstest]
fn a_domain_without_a_target_does_not_count() {
    let loads = [load("a", 0, 0), load("b", 900, 100)];
    let of = |loads| TargetPressure::of_domains("a", None, &placement(loads, 1_000), &[]);
    assert_eq!(of(&loads), Some(900));
    assert_eq!(of(&loads[..1]), None);
}

/// Guards against sums that overflow when nodes report nonsense.
#[rstest]
fn the_largest_reports_do_not_overflow() {
    let largest = TargetPressure {
        permille: u32::MAX,
        slots: u32::MAX,
    };
    let mean = TargetPressure::of_service([largest; 3].into_iter());
    assert_eq!(mean, Some(u32::MAX));
}

/// One domain is at 0.96 of its capacity and the service as a whole at 0.87, so the domain keeps its
/// calls (0.87 * 1.22 is above 0.96). Guards against root requests that are refused there, from 950
/// per mille on, while the service as a whole is below that.
#[rstest]
fn a_domain_within_the_keep_factor_presses_no_entry() {
    let mut loads = [load("a", 960, 60), load("b", 825, 60), load("c", 825, 60)];
    for load in &mut loads {
        load.demand_per_s = load.pressure_permille as f32;
        load.capacity_per_s = 1_000.0;
    }
    let conf = PlacementConf::default();
    let split = split("a", &loads, conf);
    assert!(split.keeps_all());
    let placement = ServicePlacement::new(TimeMs(0), split, loads.to_vec(), conf);
    let pressure = TargetPressure::of_domains("a", Some(960), &placement, &[]);
    assert!(pressure.unwrap_or(960) < 950);
}
