//! Maps keys to slots.

use crate::core::stable_hash;

/// Number of slots over which the keys of a service are spread. It is part of the protocol.
pub const SLOT_COUNT: usize = 32;

/// The longest accepted key in bytes. It bounds the ledger's memory.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// The slot of a service's key.
pub fn slot_of(service: &str, key: &str) -> usize {
    let hash = stable_hash(service.bytes().chain([0]).chain(key.bytes()));
    ((hash ^ (hash >> 32)) % SLOT_COUNT as u64) as usize
}
