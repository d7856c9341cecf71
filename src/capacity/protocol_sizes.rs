//! The bytes of what travels between nodes, counted on messages with names of ordinary length.

use serde::Deserialize;
use serde::Serialize;

use crate::capacity::layout;
use crate::core::AttemptId;
use crate::core::Name;
use crate::core::Priority;
use crate::core::RequestId;
use crate::core::RunState;
use crate::core::Target;
use crate::membership::Body;
use crate::membership::Datagram;
use crate::membership::DomainContact;
use crate::membership::FixedDigest;
use crate::membership::Header;
use crate::membership::Update;
use crate::membership::encode_datagram;
use crate::membership::encoded_bytes;
use crate::poison::CrashReport;
use crate::poison::RunningRequest;
use crate::wire::AnswerHeader;
use crate::wire::CallHeader;
use crate::wire::LoadReport;
use crate::wire::OwnerHint;

/// How many digests a comparison of member tables carries.
const BUCKETS: usize = 64;
/// A key such as a UUID in text.
const KEY: &str = "7f3c9a52-6f0e-4b52-9d43-1f2ab7c1e0d4";

/// Bytes of each kind of message, without IP, UDP, TCP and HTTP around it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProtocolSizes {
    /// A ping or its answer to a node of the own failure domain, without news.
    pub ping_bytes: usize,
    /// The same to another failure domain.
    pub far_ping_bytes: usize,
    /// What one node says of itself, as one piece of news.
    pub member_entry_bytes: usize,
    pub suspect_bytes: usize,
    pub dead_bytes: usize,
    /// A comparison of member tables.
    pub buckets_bytes: usize,
    /// The value of the call header of a keyed call.
    pub call_header_bytes: usize,
    /// The value of the answer header to a keyed call.
    pub answer_header_bytes: usize,
    /// A report of a crash for each request that was running.
    pub suspect_request_bytes: usize,
}

impl ProtocolSizes {
    /// Counts them.
    pub fn count() -> Self {
        Self {
            ping_bytes: datagram(Body::Ping { sequence: 100_000 }, layout::DOMAINS).len(),
            far_ping_bytes: datagram(Body::Ping { sequence: 100_000 }, 0).len(),
            member_entry_bytes: encoded_bytes(&Update::Own(target())),
            suspect_bytes: encoded_bytes(&Update::Suspect {
                node: target().node,
                incarnation: target().incarnation,
            }),
            dead_bytes: encoded_bytes(&Update::Dead {
                node: target().node,
                incarnation: target().incarnation,
            }),
            buckets_bytes: datagram(buckets(), 0).len(),
            call_header_bytes: call_header().encode().len(),
            answer_header_bytes: answer_header().encode().len(),
            suspect_request_bytes: suspect_request_bytes(),
        }
    }
}

/// The last member of a full deployment.
fn target() -> Target {
    let mut targets = layout::targets(layout::FULL_NODES);
    targets.pop().expect("a full deployment has nodes")
}

fn datagram(body: Body, heard_domains: usize) -> Vec<u8> {
    let heard = DomainContact {
        domain_hash: 1,
        age_tenths: 10,
    };
    encode_datagram(&Datagram {
        header: Header {
            store_era: 0,
            from: target().node,
            incarnation: target().incarnation,
            members_digest: u32::MAX,
            members: layout::FULL_NODES as u32,
            config_version: 100_000,
            confirmed_tenths: 20,
            slot_maps_digest: u32::MAX,
            heard: vec![heard; heard_domains],
        },
        body,
        updates: Vec::new(),
    })
}

fn buckets() -> Body {
    Body::Buckets {
        digests: vec![FixedDigest(u32::MAX); BUCKETS],
    }
}

fn call_header() -> CallHeader {
    CallHeader {
        request: RequestId(u128::MAX),
        attempt: AttemptId(u128::MAX),
        priority: Priority::LOWEST,
        depth: 7,
        deadline_left_ms: 30_000,
        wait_ms: 1_000,
        allotment: 3,
        non_idempotent: true,
        key: Some(Name::from(KEY)),
        owner_stamp: u64::MAX,
        first_sending: true,
        config_version: 100_000,
        body_len: Some(100_000),
        from_node: target().node,
    }
}

fn answer_header() -> AnswerHeader {
    AnswerHeader {
        attempt: AttemptId(u128::MAX),
        run_state: RunState::Ran,
        refusal: None,
        allotment_unused: 3,
        admit: Priority::LOWEST,
        load: LoadReport {
            in_flight: 140,
            limit: 140,
            queued: 1_000,
        },
        config_version: 100_000,
        body_len: Some(100_000),
        owner: Some(OwnerHint {
            node: target().node,
            epoch: 1_000,
            stamp: u64::MAX,
        }),
    }
}

fn suspect_request_bytes() -> usize {
    let running = RunningRequest {
        request: RequestId(u128::MAX),
        fingerprint: u64::MAX,
    };
    let with = |count| CrashReport {
        running: vec![running; count],
        ..CrashReport::default()
    };
    (encoded_bytes(&with(100)) - encoded_bytes(&with(0))) / 100
}
