//! The cost of gossip for a node must not grow with the fleet. In virtual time; run with
//! `--nocapture` to see the figures.

mod membership_net;

use rstest::rstest;

use membership_net::Net;
use membership_net::Shape;
use sassafrasgap::core::TargetState;

/// From the start of the VMs until about half a minute after the first requests.
const RUN_MS: u64 = 50_000;
/// How long after the start of the VMs the first requests arrive at the largest deployment.
const TRAFFIC_AFTER_MS: u64 = 24_000;

/// Five failure domains in one region.
fn five_domains(nodes_per_domain: usize) -> Shape {
    Shape {
        regions: 1,
        domains_per_region: 5,
        nodes_per_domain,
    }
}

/// Starts all nodes and runs for [`RUN_MS`]. Returns the bytes that a node sent into other failure
/// domains, and when all nodes were up.
fn start(nodes_per_domain: usize) -> (u64, Option<u64>) {
    let mut net = Net::cold(five_domains(nodes_per_domain), 11);
    let nodes = net.nodes.len();
    let joined_ms = net.ms_until(RUN_MS, |node| node.count(TargetState::Up) == nodes);
    net.run_ms(RUN_MS - joined_ms.unwrap_or(RUN_MS));
    let cross_domain_bytes = net.mean_cross_domain_bytes();
    println!(
        "{nodes} nodes: {cross_domain_bytes} B a node into other domains, all up after {joined_ms:?} ms"
    );
    (cross_domain_bytes, joined_ms)
}

/// Guards against updates and whole tables that cross the borders of failure domains once for each
/// node.
#[rstest]
#[case(40, 100)]
fn bytes_into_other_domains_do_not_grow_with_the_fleet(#[case] few: usize, #[case] many: usize) {
    let (few_bytes, _) = start(few);
    let (many_bytes, joined_ms) = start(many);
    // Only the records of the other nodes, which each node receives at its start, may grow with
    // their number. The bound is 100 bytes for each record.
    let records = (many - few) as u64 * 5 * 100;
    assert!(
        many_bytes <= few_bytes + records,
        "{few_bytes}, {many_bytes}"
    );
    assert!(
        joined_ms.is_some_and(|ms| ms <= TRAFFIC_AFTER_MS),
        "{joined_ms:?}"
    );
}

/// The figures of docs/CAPACITY.md at sizes that take too long for each test run.
#[rstest]
#[ignore = "a measurement of minutes"]
fn slopes(#[values(20, 60, 200, 400)] nodes_per_domain: usize) {
    start(nodes_per_domain);
}
