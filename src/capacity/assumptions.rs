//! The sizes and shares on which docs/CAPACITY.md rests. `tests/capacity_bytes.rs` counts the real
//! ones against those of the protocols; a change that exceeds one changes the page too.

/// A gossip datagram without news inside a failure domain, and to another one.
pub const PING_BYTES: usize = 72;
pub const FAR_PING_BYTES: usize = 44;
/// One member as a piece of news.
pub const MEMBER_ENTRY_BYTES: usize = 80;
/// A suspicion or death as a piece of news.
pub const VERDICT_BYTES: usize = 28;
/// A comparison of member tables.
pub const BUCKETS_BYTES: usize = 320;
/// The call header of a keyed call, and the answer header to it.
pub const CALL_HEADER_BYTES: usize = 176;
pub const ANSWER_HEADER_BYTES: usize = 112;
/// One running request in the report of a crash.
pub const SUSPECT_REQUEST_BYTES: usize = 32;
/// A preset with the rules of one deployment.
pub const PRESET_DOCUMENT_BYTES: usize = 2_048;
/// A service's slot map with 32 slots and six members.
pub const SLOT_MAP_BYTES: usize = 3_500;
/// Gossip of one node at rest, sent and received together, at any number of members up to 720.
pub const REST_GOSSIP_BYTES_PER_S: f64 = 500.0;
/// State of one node: the member table and the published view, for each member.
pub const MEMBER_STATE_BYTES: f64 = 1_000.0;
