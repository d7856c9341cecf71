//! The arithmetic of the capacity experiment.

use rstest::rstest;
use sassafrasgap::capacity::MemberState;
use sassafrasgap::capacity::ProcessUsage;
use sassafrasgap::capacity::Samples;
use sassafrasgap::capacity::Slope;
use sassafrasgap::capacity::Spread;
use sassafrasgap::capacity::layout;

const SCRAPE: &str = "\
# HELP control_bytes_total Bytes.
# TYPE control_bytes_total counter
control_bytes_total{direction=\"sent\",kind=\"ping\"} 100
control_bytes_total{direction=\"sent\",kind=\"ack\"} 50
control_bytes_total{direction=\"received\",kind=\"ping\"} 7
config_version 3
";

#[rstest]
#[case("control_bytes_total", &["direction=\"sent\""], 150.0)]
#[case("control_bytes_total", &["direction=\"sent\"", "kind=\"ack\""], 50.0)]
#[case("control_bytes_total", &[], 157.0)]
#[case("config_version", &[], 3.0)]
#[case("config", &[], 0.0)]
fn sums_samples(#[case] metric: &str, #[case] labels: &[&str], #[case] expected: f64) {
    let samples = Samples::parse(SCRAPE);
    assert_eq!(samples.sum(metric, labels), expected);
    let kinds = samples.by_label("control_bytes_total", &["direction=\"sent\""], "kind");
    assert_eq!(kinds["ping"], 100.0);
}

#[test]
fn finds_the_line_through_points() {
    let slope = Slope::fit(&[(8.0, 20.0), (24.0, 52.0), (72.0, 148.0)]);
    assert!((slope.per_unit - 2.0).abs() < 1e-9);
    assert!((slope.at(720.0) - 1_444.0).abs() < 1e-6);
    assert!(slope.per_unit_error < 1e-9);
    let rough = Slope::fit(&[(0.0, 0.0), (1.0, 3.0), (2.0, 2.0)]);
    assert!((rough.per_unit - 1.0).abs() < 1e-9);
    assert!((rough.per_unit_error - (4.0_f64 / 3.0).sqrt()).abs() < 1e-9);
    assert_eq!(Slope::fit(&[(5.0, 1.0), (5.0, 3.0)]).at(720.0), 2.0);
}

#[test]
fn sums_up_a_spread() {
    let spread = Spread::of(&[1.0, 2.0, 3.0]);
    assert_eq!((spread.min, spread.mean, spread.max), (1.0, 2.0, 3.0));
    assert!((spread.std_dev - (2.0_f64 / 3.0).sqrt()).abs() < 1e-9);
    assert_eq!(Spread::of(&[]), Spread::default());
}

#[test]
fn every_node_has_a_place_of_its_own() {
    let nodes = layout::targets(layout::FULL_NODES);
    let distinct = |values: Vec<String>| {
        let mut sorted = values.clone();
        sorted.sort_unstable();
        sorted.dedup();
        sorted.len()
    };
    let names = nodes.iter().map(|node| node.node.to_string()).collect();
    let addresses = nodes.iter().map(|node| node.control_address.to_string());
    let domains = nodes.iter().map(|node| node.domain.to_string()).collect();
    let regions = nodes.iter().map(|node| node.region.to_string()).collect();
    assert_eq!(distinct(names), 720);
    assert_eq!(distinct(addresses.collect()), 720);
    assert_eq!(distinct(domains), layout::DOMAINS);
    assert_eq!(distinct(regions), layout::REGIONS);
    assert_eq!(layout::services(layout::FULL_NODES), layout::FULL_SERVICES);
}

#[test]
fn reads_what_a_process_uses() {
    let usage = ProcessUsage::of(std::process::id()).unwrap();
    assert!(usage.resident_bytes > 1_000_000);
    assert!(ProcessUsage::of(u32::MAX).is_err());
}

#[test]
fn fills_a_membership_with_all_members() {
    let state = MemberState::measure(60).unwrap();
    assert_eq!((state.members, state.services), (60, layout::services(60)));
}
