//! The protocols' sizes against what docs/CAPACITY.md assumes, by counting bytes.

use rstest::rstest;
use sassafrasgap::capacity::GossipCost;
use sassafrasgap::capacity::ProtocolSizes;
use sassafrasgap::capacity::assumptions;
use sassafrasgap::capacity::preset;
use sassafrasgap::claims::LeaseConf;
use sassafrasgap::claims::Member;
use sassafrasgap::claims::SlotEntry;
use sassafrasgap::claims::SlotMap;
use sassafrasgap::conf::load_preset;
use sassafrasgap::control::ConfigDocument;
use sassafrasgap::core::Name;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
/// The control budget of a node in letter 1, sent and received together.
const CONTROL_BUDGET_BYTES_PER_S: f64 = 3_000.0;

#[test]
fn every_message_is_as_small_as_assumed() {
    let sizes = ProtocolSizes::count();
    let counted = [
        ("ping", sizes.ping_bytes, assumptions::PING_BYTES),
        (
            "far ping",
            sizes.far_ping_bytes,
            assumptions::FAR_PING_BYTES,
        ),
        (
            "member entry",
            sizes.member_entry_bytes,
            assumptions::MEMBER_ENTRY_BYTES,
        ),
        ("suspicion", sizes.suspect_bytes, assumptions::VERDICT_BYTES),
        ("death", sizes.dead_bytes, assumptions::VERDICT_BYTES),
        ("buckets", sizes.buckets_bytes, assumptions::BUCKETS_BYTES),
        (
            "call header",
            sizes.call_header_bytes,
            assumptions::CALL_HEADER_BYTES,
        ),
        (
            "answer header",
            sizes.answer_header_bytes,
            assumptions::ANSWER_HEADER_BYTES,
        ),
        (
            "suspect",
            sizes.suspect_request_bytes,
            assumptions::SUSPECT_REQUEST_BYTES,
        ),
    ];
    for (what, bytes, assumed) in counted {
        assert!(
            bytes <= assumed,
            "{what}: {bytes} bytes, the page assumes {assumed}"
        );
    }
}

/// A user sees: as the fleet grows, every node's control traffic grows with it until small VMs
/// spend their links on gossip. Each node told every other one of everything it knows.
#[rstest]
#[case(8)]
#[case(72)]
#[case(720)]
fn gossip_at_rest_does_not_grow_with_the_fleet(#[case] members: usize) {
    let cost = GossipCost::count(members, 120);
    let bytes_per_s = cost.sent_bytes_per_s + cost.received_bytes_per_s;
    assert!(
        bytes_per_s <= assumptions::REST_GOSSIP_BYTES_PER_S,
        "{bytes_per_s} bytes a second"
    );
    assert!(bytes_per_s <= CONTROL_BUDGET_BYTES_PER_S);
    // Nothing but probes: one sent and one answered in each second, and few more.
    assert!(cost.sent_messages_per_s <= 4.0, "{cost:?}");
}

#[test]
fn a_configuration_is_as_small_as_assumed() {
    let document = preset("ordinary");
    let message = ConfigDocument {
        version: u64::MAX,
        preset: Name::from("ordinary"),
        document,
    };
    let bytes = postcard::to_stdvec(&message).unwrap().len();
    assert!(bytes <= assumptions::PRESET_DOCUMENT_BYTES, "{bytes}");
    for deployment in ["association", "cantinas"] {
        for name in ["ordinary", "peak", "maintenance"] {
            let path = format!("{EXAMPLES}/{deployment}/presets/{name}.yaml");
            load_preset(path.as_ref()).unwrap();
            let bytes = std::fs::metadata(&path).unwrap().len() as usize;
            assert!(
                bytes <= assumptions::PRESET_DOCUMENT_BYTES,
                "{path}: {bytes}"
            );
        }
    }
}

#[test]
fn a_slot_map_is_as_small_as_assumed() {
    let mut map = SlotMap::empty();
    for slot in &mut map.slots {
        *slot = SlotEntry {
            owner: Some(u64::MAX),
            epoch: 1_000,
            transfer: 0,
        };
    }
    let member = |index| Member {
        node: Name::from(format!("service-129-{index:03}")),
        instance: u64::MAX,
        region: Name::from("region-2"),
        boot: u64::MAX,
        terms: LeaseConf::default().terms,
        serving: true,
        added: 1_000,
        knows: 1_000,
    };
    map.members = (0..6).map(member).collect();
    let bytes = map.encode().len();
    assert!(bytes <= assumptions::SLOT_MAP_BYTES, "{bytes}");
}
