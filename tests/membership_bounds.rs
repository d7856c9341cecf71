//! Bounds on memory and repetition, and the states that are published.

mod membership_net;

use std::net::SocketAddr;

use fastrand::Rng;
use rstest::rstest;

use membership_net::Net;
use membership_net::Shape;
use membership_net::address_of;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::TimeMs;
use sassafrasgap::membership::Action;
use sassafrasgap::membership::Membership;
use sassafrasgap::membership::MembershipSettings;

const START: TimeMs = TimeMs(1_000);

fn target(index: usize, state: TargetState) -> Target {
    Target {
        node: Name::from(format!("node-{index}")),
        service: Name::from("compras"),
        region: Name::from("pt-interior"),
        domain: Name::from("pt-interior-1"),
        peer_address: address_of(index),
        control_address: address_of(index),
        incarnation: 1 << 16,
        state,
        slots: 100,
    }
}

fn member(settings: MembershipSettings) -> Membership {
    let own = target(0, TargetState::Starting);
    Membership::new(own, Vec::new(), settings, Rng::with_seed(3), START)
}

#[rstest]
fn tombstones_are_bounded_in_number_and_time() {
    // VMs are replaced under new names every day. The memory of those that left must neither grow
    // without bound nor bring them back.
    let settings = MembershipSettings {
        max_tombstones: 10,
        ..MembershipSettings::default()
    };
    let mut member = member(settings);
    let left: Vec<Target> = (1..=40)
        .map(|index| target(index, TargetState::Left))
        .collect();
    member.merge(START, address_of(1), &left);
    member.tick(START + 20_000);
    assert_eq!(member.table().len(), 1 + 10);
    member.tick(START + 20_000 + settings.tombstone_ms);
    member.tick(START + 40_000 + settings.tombstone_ms);
    assert_eq!(member.table().len(), 1);
    assert_eq!(member.view().nodes.len(), 1);
}

#[rstest]
fn members_beyond_the_limit_are_not_added() {
    // A peer with broken settings reports more nodes than any deployment has. Memory must not grow
    // with them.
    let settings = MembershipSettings {
        max_members: 50,
        ..MembershipSettings::default()
    };
    let mut member = member(settings);
    let many: Vec<Target> = (1..=400)
        .map(|index| target(index, TargetState::Up))
        .collect();
    member.merge(START, address_of(1), &many);
    assert_eq!(member.table().len(), 50);
}

#[rstest]
fn a_draining_suspect_does_not_accept_work() {
    // A backend server drains, and then its node stops answering. Suspected members are still
    // tried, so publishing it as merely suspected would send it new work.
    let mut net = Net::joined(Shape::SMALL, 4);
    let name = net.name_of(2);
    net.set_state(2, TargetState::Draining);
    net.run_ms(2_000);
    net.kill(2);
    for _ in 0..120 {
        net.run_ms(100);
        for node in net.nodes.iter().filter(|node| node.is_running) {
            let state = node.state_of(&name).expect("it is remembered");
            assert!(!state.accepts_calls(), "{state:?}");
        }
    }
    let node = &net.nodes[0];
    assert_eq!(node.state_of(&name), Some(TargetState::Dead));
}

#[rstest]
fn a_new_configuration_version_reaches_all_nodes_within_two_seconds() {
    let mut net = Net::joined(Shape::SMALL, 5);
    net.nodes[3].member.set_config_version(7);
    let is_known = |node: &membership_net::Node| {
        let newest = node.newer_configs.last();
        newest.is_some_and(|(_, version)| *version == 7) || node.member.config_version() == 7
    };
    let known_ms = net.ms_until(2_000, is_known);
    println!("configuration version known everywhere after {known_ms:?} ms");
    assert!(known_ms.is_some());
}

#[rstest]
fn a_new_slot_map_version_reaches_all_nodes_within_two_seconds() {
    let mut net = Net::joined(Shape::SMALL, 6);
    let service = Name::from("scheduler");
    net.nodes[3].member.set_slot_map_version(&service, 4);
    net.run_ms(2_000);
    for (index, node) in net.nodes.iter().enumerate() {
        let newest = node.newer_slot_maps.first();
        assert!(index == 3 || newest == Some(&(service.clone(), 4)));
    }
}

#[rstest]
fn a_node_without_peers_keeps_requesting_members_from_a_seed() {
    // The seeds and the platform are down when a node starts. If it did not repeat its request, it
    // would never join.
    let seed = SocketAddr::from(([10, 9, 9, 9], 7_000));
    let own = target(0, TargetState::Starting);
    let settings = MembershipSettings::default();
    let mut member = Membership::new(own, vec![seed], settings, Rng::with_seed(3), START);
    let mut requests = 0;
    for tenth in 0..100 {
        let actions = member.tick(START + tenth * 100);
        let is_request = |action: &&Action| **action == Action::Exchange { with: seed };
        requests += actions.iter().filter(is_request).count();
    }
    assert!((8..=12).contains(&requests), "{requests} requests in 10 s");
}

#[rstest]
fn the_view_shares_what_did_not_change() {
    let mut member = member(MembershipSettings::default());
    let mut other = target(2, TargetState::Up);
    other.service = Name::from("ementas");
    member.merge(START, address_of(1), &[target(1, TargetState::Up), other]);
    let before = member.view();
    let mut drained = target(1, TargetState::Draining);
    drained.incarnation += 1 << 16;
    member.merge(START, address_of(1), &[drained]);
    let after = member.view();
    let shared =
        |service: &str| std::sync::Arc::ptr_eq(&before.services[service], &after.services[service]);
    assert!(shared("ementas"));
    assert!(!shared("compras"));
    assert_eq!(after.nodes["node-1"].state, TargetState::Draining);
    assert!(after.changes > before.changes);
}

/// A node restarts without what its earlier process published. Until it receives the record held
/// under its name, the other nodes treat its own record as old. Its first exchange has to return
/// the held record.
#[rstest]
#[case::up(TargetState::Up)]
#[case::dead(TargetState::Dead)]
fn a_restarted_node_receives_the_record_held_under_its_name(#[case] held: TargetState) {
    let mut peer = member(MembershipSettings::default());
    let mut before = target(1, TargetState::Up);
    before.incarnation = 1 << 40;
    peer.merge(START, address_of(1), &[before.clone()]);
    before.state = held;
    peer.merge(START, address_of(2), &[before]);
    let own = target(1, TargetState::Starting);
    let settings = MembershipSettings::default();
    let mut restarted = Membership::new(own, Vec::new(), settings, Rng::with_seed(5), START);
    let request = restarted.exchange_request();
    let (answer, _) = peer.answer_exchange(START, address_of(1), &request);
    restarted.merge(START, address_of(0), &answer);
    assert!(restarted.own().incarnation > 1 << 40);
    let (answer, _) = peer.answer_exchange(START, address_of(1), &restarted.exchange_request());
    assert!(
        answer
            .iter()
            .all(|target| target.node != restarted.own().node)
    );
}
