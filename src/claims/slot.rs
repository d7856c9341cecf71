//! The slot of a key.

use crate::core::stable_hash;

/// How many slots the keys of a service are spread over. It is part of the protocol.
pub const SLOT_COUNT: usize = 32;

/// The longest key that is accepted, in bytes: the ledger's memory is bounded by it.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// The slot to which a key of a service belongs.
pub fn slot_of(service: &str, key: &str) -> usize {
    let hash = stable_hash(service.bytes().chain([0]).chain(key.bytes()));
    ((hash ^ (hash >> 32)) % SLOT_COUNT as u64) as usize
}
