//! Restarts of nodes without seed addresses or a store: the other nodes have to ping them.

mod membership_net;

use rstest::rstest;

use membership_net::Net;
use membership_net::Shape;
use sassafrasgap::core::TargetState;

/// A small site with three failure domains.
const SITE: Shape = Shape {
    regions: 1,
    domains_per_region: 3,
    nodes_per_domain: 6,
};
const RESTART_MS: u64 = 600;
/// The other nodes have to show a restarted node as up within this time after its start.
const KNOWN_MS: u64 = 4_000;

/// A node is restarted as planned while the platform's store is unreachable. It announced that it
/// leaves, so the others dropped it, and its new process has no address of any other node. Without
/// pings from the others it would serve nothing until the store is back, and no other node could
/// use its backend server, the last one of its service.
#[rstest]
fn a_node_restarted_without_a_store_is_found_by_the_others(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(TargetState::Left, TargetState::Draining)] last_state: TargetState,
) {
    let mut net = Net::joined(SITE, seed);
    // Two nodes that left for good are pinged in vain.
    for gone in [1, 13] {
        net.set_state(gone, TargetState::Left);
        net.run_ms(200);
        net.kill(gone);
    }
    let node = 8;
    net.set_state(node, last_state);
    net.run_ms(200);
    net.kill(node);
    net.run_ms(RESTART_MS);
    net.restart_without_seeds(node);
    let name = net.name_of(node);
    let all = net.nodes.len() - 2;
    let known = net.ms_until(KNOWN_MS, |other| {
        let is_up = other.state_of(&name) == Some(TargetState::Up);
        is_up && other.count(TargetState::Up) == all
    });
    assert!(known.is_some(), "it is not known after {KNOWN_MS} ms");
}
