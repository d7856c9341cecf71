//! What gossip costs a node must not grow with the fleet. In virtual time; run with `--nocapture` to see
//! the figures.

mod membership_net;

use rstest::rstest;

use membership_net::Net;
use membership_net::Shape;
use sassafrasgap::core::TargetState;

/// From the start of the machines to the callers' coming and half a minute of it.
const DAY_MS: u64 = 50_000;
/// How long after the machines callers come to the largest deployment.
const TRAFFIC_AFTER_MS: u64 = 24_000;

/// Five failure domains of one region.
fn five_domains(nodes_per_domain: usize) -> Shape {
    Shape {
        regions: 1,
        domains_per_region: 5,
        nodes_per_domain,
    }
}

/// A start of all with the whole rest of a day: bytes into other failure domains a node, and when all are up.
fn start(nodes_per_domain: usize) -> (u64, Option<u64>) {
    let mut net = Net::cold(five_domains(nodes_per_domain), 11);
    let nodes = net.nodes.len();
    let joined_ms = net.ms_until(DAY_MS, |node| node.count(TargetState::Up) == nodes);
    net.run_ms(DAY_MS - joined_ms.unwrap_or(DAY_MS));
    let far_bytes = net.far_bytes_a_node();
    println!(
        "{nodes} nodes: {far_bytes} B a node into other domains, all up after {joined_ms:?} ms"
    );
    (far_bytes, joined_ms)
}

/// News and whole tables crossed the borders of failure domains once for each node.
#[rstest]
#[case(40, 100)]
fn bytes_into_other_domains_do_not_grow_with_the_fleet(#[case] few: usize, #[case] many: usize) {
    let (few_bytes, _) = start(few);
    let (many_bytes, joined_ms) = start(many);
    // What a node says of all others at its start grows with their number, and nothing else may.
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

/// The figures of docs/CAPACITY.md at the sizes that take too long for each run of the tests.
#[rstest]
#[ignore = "a measurement of minutes"]
fn slopes(#[values(20, 60, 200, 400)] nodes_per_domain: usize) {
    start(nodes_per_domain);
}
