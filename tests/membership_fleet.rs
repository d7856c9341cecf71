//! 720 members in virtual time: how fast updates spread, and how many bytes they cost.
//!
//! The bounds are those of docs/MEMBERSHIP.md. Run with `--nocapture` to see the figures.

mod membership_net;

use std::sync::OnceLock;

use rstest::rstest;

use membership_net::Net;
use membership_net::Shape;
use sassafrasgap::core::Name;
use sassafrasgap::core::RouteOrigin;
use sassafrasgap::core::TargetState;

/// The gossip of an idle node, which is a part of [`BUDGET_BYTES_PER_S`].
const IDLE_BYTES_PER_S: u64 = 1_500;
/// What a node may spend on all control traffic: 3 KB/s.
const BUDGET_BYTES_PER_S: u64 = 3_000;
const IDLE_MS: u64 = 10_000;
/// Members in a rack: a third of a failure domain.
const RACK: usize = 27;

/// One fleet shared by all tests, since it takes a while to settle.
fn fleet() -> Net {
    static FLEET: OnceLock<Net> = OnceLock::new();
    FLEET.get_or_init(|| Net::joined(Shape::FLEET, 1)).clone()
}

/// How long after the start of the VMs the first requests arrive.
const TRAFFIC_AFTER_MS: u64 = 8_000;
/// A cold start at this size is a fast test. The member tables of all nodes together grow with the
/// square of the number of nodes.
const COLD: Shape = Shape {
    regions: 3,
    domains_per_region: 3,
    nodes_per_domain: 20,
};

#[rstest]
fn an_idle_fleet_stays_within_its_byte_budget_without_deaths() {
    let mut net = fleet();
    net.loss = 0.01;
    net.run_ms(IDLE_MS);
    let (mean, most) = net.bytes_per_s(IDLE_MS);
    let cross_domain_bytes = net.mean_cross_domain_bytes();
    println!(
        "idle with 1% loss: {mean} B/s mean, {most} B/s at the busiest node, {cross_domain_bytes} B to other domains"
    );
    assert!(mean <= IDLE_BYTES_PER_S, "{mean} B/s");
    assert!(most <= BUDGET_BYTES_PER_S, "{most} B/s");
    for node in &net.nodes {
        assert_eq!(node.count(TargetState::Dead), 0);
        assert!(node.member.cut_off_domains().is_empty());
    }
}

#[rstest]
fn single_changes_reach_a_fleet_within_seconds() {
    let mut net = fleet();
    let name = net.name_of(100);
    let seen_as = |state| {
        let name = name.clone();
        move |node: &membership_net::Node| node.state_of(&name) == Some(state)
    };
    net.set_state(100, TargetState::Draining);
    let drain_ms = net.ms_until(10_000, seen_as(TargetState::Draining));
    net.run_ms(2_000);
    net.set_state(100, TargetState::Left);
    net.run_ms(300);
    net.kill(100);
    let left_ms = net.ms_until(10_000, seen_as(TargetState::Left));
    net.run_ms(2_000);
    net.restart(100);
    let restart_ms = net.ms_until(10_000, seen_as(TargetState::Up));
    net.run_ms(2_000);
    net.kill(100);
    let death_ms = net.ms_until(30_000, seen_as(TargetState::Dead));
    println!("drain {drain_ms:?} left {left_ms:?} restart {restart_ms:?} death {death_ms:?} ms");
    assert!(drain_ms.is_some_and(|ms| ms <= 3_000), "drain {drain_ms:?}");
    assert!(left_ms.is_some_and(|ms| ms <= 3_000), "left {left_ms:?}");
    assert!(restart_ms.is_some_and(|ms| ms <= 5_000), "{restart_ms:?}");
    assert!(death_ms.is_some_and(|ms| ms <= 12_000), "{death_ms:?}");
}

#[rstest]
fn the_loss_of_a_rack_is_known_within_the_byte_budget() {
    // A third of a failure domain loses power. Calls to it fail until that is known. The updates
    // about 27 deaths must not crowd out all other control traffic.
    let mut net = fleet();
    for index in net.members_of(3).take(RACK) {
        net.kill(index);
    }
    let all_known = |node: &membership_net::Node| node.count(TargetState::Dead) == RACK;
    let known_ms = net.ms_until(30_000, all_known);
    let elapsed_ms = known_ms.unwrap_or(30_000);
    let (mean, most) = net.bytes_per_s(elapsed_ms);
    println!("rack {known_ms:?} ms, {mean} B/s mean, {most} B/s at the busiest node");
    assert!(known_ms.is_some_and(|ms| ms <= 20_000), "{known_ms:?}");
    assert!(mean <= BUDGET_BYTES_PER_S, "{mean} B/s");
}

/// All VMs are replaced after a power failure, and each node has only the addresses of three seeds.
/// Requests arrive 8 s later, and a node that has no targets of a service by then refuses them.
#[rstest]
#[case(COLD)]
#[case(Shape::FLEET)]
fn a_cold_start_of_all_nodes_converges(#[case] shape: Shape) {
    let mut net = Net::cold(shape, 4);
    let nodes = net.nodes.len();
    let all_up = |node: &membership_net::Node| node.count(TargetState::Up) == nodes;
    let joined_ms = net.ms_until(60_000, all_up);
    let elapsed_ms = joined_ms.unwrap_or(60_000);
    let (mean, most) = net.bytes_per_s(elapsed_ms);
    let cross_domain_bytes = net.mean_cross_domain_bytes();
    println!(
        "cold start {joined_ms:?} ms, {mean} B/s mean, {most} B/s at the busiest node, {cross_domain_bytes} B to other domains"
    );
    assert!(
        joined_ms.is_some_and(|ms| ms <= TRAFFIC_AFTER_MS),
        "{joined_ms:?}"
    );
}

/// All nodes restart, and the updates about it use the whole byte budget. If each node has to find
/// out by itself which routes are used by callers, it refuses nothing for five seconds, and
/// requests are started and lost. The first node that finds out informs all others at once, and the
/// first known use stays.
#[rstest]
fn route_use_spreads_at_once_in_a_cold_start_of_hundreds() {
    let shape = Shape {
        regions: 1,
        domains_per_region: 5,
        nodes_per_domain: 39,
    };
    let mut net = Net::cold(shape, 7);
    net.run_ms(2_000);
    let route = Name::from("route");
    let by = RouteOrigin::Callers;
    assert!(net.nodes[3].member.set_route_use(&route, by));
    net.nodes[3].route_uses.push((route.clone(), by));
    let known_ms = net.ms_until(10_000, |node| !node.route_uses.is_empty());
    println!("route known everywhere after {known_ms:?} ms");
    assert!(known_ms.is_some_and(|ms| ms <= 1_500), "{known_ms:?}");
    let member = &mut net.nodes[100].member;
    assert!(!member.set_route_use(&route, RouteOrigin::Backends));
    net.run_ms(1_000);
    let repeated = net.nodes.iter().any(|node| node.route_uses.len() != 1);
    assert!(!repeated);
}
