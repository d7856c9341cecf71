//! The precedence of updates, and the handling of datagrams that cannot be used.

use std::net::SocketAddr;

use fastrand::Rng;
use proptest::prelude::*;
use rstest::rstest;

use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::TimeMs;
use sassafrasgap::errors::GossipError;
use sassafrasgap::membership::Action;
use sassafrasgap::membership::Body;
use sassafrasgap::membership::Datagram;
use sassafrasgap::membership::GOSSIP_VERSION;
use sassafrasgap::membership::Header;
use sassafrasgap::membership::Membership;
use sassafrasgap::membership::MembershipSettings;
use sassafrasgap::membership::Update;
use sassafrasgap::membership::decode_datagram;
use sassafrasgap::membership::encode_datagram;
use sassafrasgap::membership::encoded_bytes;

const NOW: TimeMs = TimeMs(5_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn target(node: &str, incarnation: u64, state: TargetState) -> Target {
    Target {
        node: Name::from(node),
        service: Name::from("scheduler"),
        region: Name::from("tw-north"),
        domain: Name::from("tw-north-2"),
        peer_address: address(8_000),
        control_address: address(7_000),
        incarnation,
        state,
        slots: 140,
    }
}

fn member() -> Membership {
    let mut own = target("node-own", 0, TargetState::Starting);
    own.control_address = address(7_001);
    let settings = MembershipSettings::default();
    Membership::new(own, Vec::new(), settings, Rng::with_seed(1), NOW)
}

fn header(from: &str, incarnation: u64) -> Header {
    Header {
        store_era: 0,
        from: Name::from(from),
        incarnation,
        members_digest: 0,
        members: 0,
        config_version: 0,
        confirmed_tenths: u8::MAX,
        slot_maps_digest: 0,
        heard: Vec::new(),
    }
}

fn rumor(updates: Vec<Update>) -> Datagram {
    Datagram {
        header: header("node-b", 1),
        body: Body::Rumor,
        updates,
    }
}

/// A record that a node may publish in one incarnation. Each incarnation has one record.
fn own_record(incarnation: u64) -> Update {
    let state = match incarnation % 3 {
        0 => TargetState::Up,
        1 => TargetState::Draining,
        _ => TargetState::Starting,
    };
    Update::Own(target("node-x", incarnation, state))
}

fn any_update() -> impl Strategy<Value = Update> {
    let node = Name::from("node-x");
    let suspect = node.clone();
    prop_oneof![
        (0..6u64).prop_map(own_record),
        (0..6u64).prop_map(move |incarnation| Update::Suspect {
            node: suspect.clone(),
            incarnation
        }),
        (0..6u64).prop_map(move |incarnation| Update::Dead {
            node: node.clone(),
            incarnation
        }),
    ]
}

/// The precedence of what is held about `node-x`.
fn held(member: &Membership) -> Option<(u64, bool)> {
    let held = member.table().get("node-x")?;
    let is_dead = held.published.state == TargetState::Dead;
    Some((held.record.incarnation, is_dead))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Datagrams arrive late, twice and in any order. A draining target must not become up again
    /// because an old datagram arrived after a newer one.
    #[test]
    fn updates_in_any_order_never_revert_a_record(updates in prop::collection::vec(any_update(), 1..40)) {
        let mut member = member();
        let mut last = None;
        for update in updates {
            member.handle(NOW, address(7_002), rumor(vec![update]));
            let now_held = held(&member);
            prop_assert!(now_held >= last, "{:?} after {:?}", now_held, last);
            last = now_held;
        }
    }

    /// Two nodes that received the same updates in different orders hold the same in the end.
    #[test]
    fn the_order_of_arrival_does_not_matter(
        updates in prop::collection::vec(any_update(), 1..20),
        seed in any::<u64>(),
    ) {
        let mut shuffled = updates.clone();
        Rng::with_seed(seed).shuffle(&mut shuffled);
        let mut one = member();
        let mut other = member();
        // An update about an incarnation that is not known yet is not kept. The second round models
        // the copies that other nodes send.
        for _ in 0..2 {
            for (a, b) in updates.iter().zip(&shuffled) {
                one.handle(NOW, address(7_002), rumor(vec![a.clone()]));
                other.handle(NOW, address(7_002), rumor(vec![b.clone()]));
            }
        }
        prop_assert_eq!(held(&one), held(&other));
        prop_assert_eq!(one.table().digest(), other.table().digest());
    }

    /// A node must not panic on any bytes that arrive on its port.
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(datagram) = decode_datagram(&bytes) {
            member().handle(NOW, address(7_002), datagram);
        }
    }

    #[test]
    fn encoded_datagrams_are_decoded_unchanged(updates in prop::collection::vec(any_update(), 0..12)) {
        let datagram = rumor(updates);
        let decoded = decode_datagram(&encode_datagram(&datagram));
        prop_assert_eq!(decoded.ok(), Some(datagram));
    }
}

#[rstest]
fn a_datagram_of_another_version_is_rejected_with_both_versions() {
    let mut bytes = encode_datagram(&rumor(Vec::new()));
    bytes[0] += 1;
    let refused = decode_datagram(&bytes);
    let Err(GossipError::Version { theirs, ours }) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!((theirs, ours), (GOSSIP_VERSION + 1, GOSSIP_VERSION));
    assert!(matches!(decode_datagram(&[]), Err(GossipError::Empty)));
}

#[rstest]
fn a_truncated_datagram_is_rejected_whole() {
    let bytes = encode_datagram(&rumor(vec![own_record(3)]));
    let decoded = decode_datagram(&bytes[..bytes.len() - 1]);
    assert!(matches!(decoded, Err(GossipError::Decode(_))));
}

#[rstest]
#[case::suspected(Update::Suspect { node: Name::from("node-own"), incarnation: 1 << 20 })]
#[case::dead(Update::Dead { node: Name::from("node-own"), incarnation: 1 << 20 })]
#[case::of_an_earlier_process(Update::Own(target("node-own", 1 << 20, TargetState::Draining)))]
fn what_peers_hold_about_this_node_is_overridden(#[case] update: Update) {
    // A node restarts with a low incarnation, or was suspected during a pause. Until it overrides
    // what the others hold, they never send it work again.
    let mut member = member();
    member.handle(NOW, address(7_002), rumor(vec![update]));
    assert!(member.own().incarnation > 1 << 20);
    assert_eq!(member.own().state, TargetState::Starting);
}

#[rstest]
#[case::suspected(Update::Suspect { node: Name::from("node-x"), incarnation: 2 })]
#[case::dead(Update::Dead { node: Name::from("node-x"), incarnation: 2 })]
fn stale_updates_do_not_affect_a_newer_incarnation(#[case] stale: Update) {
    // A node was declared dead, returned and published a new record. Then an old update about its
    // death arrives late. It must not take the node out of service again.
    let mut member = member();
    let newer = Update::Own(target("node-x", 3, TargetState::Up));
    member.handle(NOW, address(7_002), rumor(vec![newer]));
    member.handle(NOW, address(7_002), rumor(vec![stale]));
    let held = member.table().get("node-x").expect("its record was sent");
    assert_eq!(held.published.state, TargetState::Up);
}

#[rstest]
fn two_nodes_with_one_name_raise_incarnations_at_a_bounded_rate() {
    // A settings file was copied: two nodes have the same name, and each overrides the other's
    // record. Without a bound their updates would fill the control network of all nodes.
    let mut member = member();
    let first = member.own().incarnation;
    for tenth in 0..100 {
        let higher = member.own().incarnation + (1 << 16);
        let update = Update::Own(target("node-own", higher, TargetState::Up));
        member.handle(NOW + tenth * 100, address(7_002), rumor(vec![update]));
    }
    let raised = (member.own().incarnation - first) >> 16;
    assert!((1..=45).contains(&raised), "raised {raised} times in 10 s");
}

#[rstest]
fn a_suspect_that_answers_is_probed_at_a_bounded_rate() {
    // A suspected member answers, but its refutation is lost and its last probe is due. If the
    // answer did not restart the suspicion, the member would be probed again at every tick.
    let mut member = member();
    let initial = Update::Own(target("node-x", 1 << 16, TargetState::Up));
    member.handle(NOW, address(7_002), rumor(vec![initial]));
    let suspicion = Update::Suspect {
        node: Name::from("node-x"),
        incarnation: 1 << 16,
    };
    member.handle(NOW, address(7_002), rumor(vec![suspicion]));
    let mut pings = 0;
    for tenth in 1..300 {
        let now = NOW + tenth * 100;
        for action in member.tick(now) {
            let Action::Send { to, datagram } = action else {
                continue;
            };
            if let Body::Ping { sequence } = datagram.body {
                pings += 1;
                let ack = Datagram {
                    header: header("node-x", 1 << 16),
                    body: Body::Ack { sequence },
                    updates: Vec::new(),
                };
                member.handle(now, to, ack);
            }
        }
    }
    // One ordinary probe a second, and a last one now and then.
    assert!(pings <= 45, "{pings} pings in 30 s");
}

#[rstest]
fn a_sender_with_an_old_incarnation_receives_the_held_record() {
    // A node restarts and pings before it has received anything. The answer must carry the record
    // that is held about it. Otherwise the node would go on with an incarnation that all others
    // ignore.
    let mut member = member();
    let held = Update::Own(target("node-x", 1 << 20, TargetState::Up));
    member.handle(NOW, address(7_002), rumor(vec![held.clone()]));
    let ping = Datagram {
        header: header("node-x", 1 << 16),
        body: Body::Ping { sequence: 9 },
        updates: Vec::new(),
    };
    // Until the update about the node has been sent often enough, every datagram carries it anyway.
    for _ in 0..50 {
        member.handle(NOW, address(7_000), ping.clone());
    }
    let actions = member.handle(NOW, address(7_000), ping);
    let is_sent = actions.iter().any(|action| match action {
        Action::Send { to, datagram } => *to == address(7_000) && datagram.updates.contains(&held),
        _ => false,
    });
    assert!(is_sent, "{actions:?}");
}

#[rstest]
fn sizes_on_the_wire_are_those_that_capacity_is_planned_with() {
    // docs/CAPACITY.md computes bytes per second from these sizes. A larger entry has to be planned
    // for.
    let mut long = target("vm-region-2-8-719", 99 << 16, TargetState::Up);
    long.service = Name::from("service-129");
    long.region = Name::from("region-2");
    long.domain = Name::from("region-2-8");
    let dead = Update::Dead {
        node: long.node.clone(),
        incarnation: long.incarnation,
    };
    let header_bytes = encoded_bytes(&header(&long.node, long.incarnation));
    assert!(encoded_bytes(&Update::Own(long)) <= 80);
    assert!(encoded_bytes(&dead) <= 24);
    assert!(header_bytes <= 40);
}
