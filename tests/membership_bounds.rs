//! What is bounded stays bounded, and what is published says what others should act on.

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
    // VMs are replaced under new names every day. What is remembered of those gone must neither
    // grow for ever nor bring them back.
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
fn members_beyond_the_bound_are_not_taken_in() {
    // A peer with broken settings tells of more nodes than anybody runs; memory must not follow.
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
fn a_suspect_that_drains_does_not_look_as_if_it_took_work() {
    // A backend server drains, and its node stops answering. A suspect is still tried, so showing
    // it as a mere suspect would send it new work again.
    let mut net = Net::joined(Shape::TODAY, 4);
    let name = net.name_of(2);
    net.set_state(2, TargetState::Draining);
    net.run_ms(2_000);
    net.kill(2);
    for _ in 0..120 {
        net.run_ms(100);
        for node in net.nodes.iter().filter(|node| node.runs) {
            let state = node.sees(&name).expect("it is remembered");
            assert!(!state.takes_work(), "{state:?}");
        }
    }
    let node = &net.nodes[0];
    assert_eq!(node.sees(&name), Some(TargetState::Dead));
}

#[rstest]
fn a_new_configuration_version_is_heard_everywhere_within_two_seconds() {
    let mut net = Net::joined(Shape::TODAY, 5);
    net.nodes[3].member.set_config_version(7);
    let heard = |node: &membership_net::Node| {
        let news = node.config_news.last();
        news.is_some_and(|(_, version)| *version == 7) || node.member.config_version() == 7
    };
    let heard_ms = net.ms_until(2_000, heard);
    println!("configuration version heard everywhere after {heard_ms:?} ms");
    assert!(heard_ms.is_some());
}

#[rstest]
fn a_new_slot_map_version_is_heard_everywhere_within_two_seconds() {
    let mut net = Net::joined(Shape::TODAY, 6);
    let service = Name::from("scheduler");
    net.nodes[3].member.set_slot_map_version(&service, 4);
    net.run_ms(2_000);
    for (index, node) in net.nodes.iter().enumerate() {
        let news = node.slot_map_news.first();
        assert!(index == 3 || news == Some(&(service.clone(), 4)));
    }
}

#[rstest]
fn a_node_without_peers_asks_a_seed_until_it_answers() {
    // The seeds are down when a node starts, and the platform as well. It must go on asking.
    let seed = SocketAddr::from(([10, 9, 9, 9], 7_000));
    let own = target(0, TargetState::Starting);
    let settings = MembershipSettings::default();
    let mut member = Membership::new(own, vec![seed], settings, Rng::with_seed(3), START);
    let mut asked = 0;
    for tenth in 0..100 {
        let actions = member.tick(START + tenth * 100);
        let asks = |action: &&Action| **action == Action::Exchange { with: seed };
        asked += actions.iter().filter(asks).count();
    }
    assert!((8..=12).contains(&asked), "asked {asked} times in 10 s");
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

/// A node restarts and knows nothing of what its earlier process said of itself. Until it hears what is held
/// of its name, the others take its word for an old one: its first exchange has to tell it.
#[rstest]
#[case::up(TargetState::Up)]
#[case::dead(TargetState::Dead)]
fn a_restarted_node_is_told_what_is_held_of_it(#[case] held: TargetState) {
    let mut peer = member(MembershipSettings::default());
    let mut before = target(1, TargetState::Up);
    before.incarnation = 1 << 40;
    peer.merge(START, address_of(1), &[before.clone()]);
    before.state = held;
    peer.merge(START, address_of(2), &[before]);
    let own = target(1, TargetState::Starting);
    let settings = MembershipSettings::default();
    let mut restarted = Membership::new(own, Vec::new(), settings, Rng::with_seed(5), START);
    let ask = restarted.exchange_request();
    let (told, _) = peer.answer_exchange(START, address_of(1), &ask);
    restarted.merge(START, address_of(0), &told);
    assert!(restarted.own().incarnation > 1 << 40);
    let (told, _) = peer.answer_exchange(START, address_of(1), &restarted.exchange_request());
    assert!(
        told.iter()
            .all(|target| target.node != restarted.own().node)
    );
}
