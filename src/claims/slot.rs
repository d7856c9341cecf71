//! The slot of a key.

/// How many slots the keys of a service are spread over. It is part of the protocol.
pub const SLOTS: usize = 32;

/// The longest key that is accepted, in bytes: the ledger's memory is bounded by it.
pub const LONGEST_KEY_BYTES: usize = 200;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The slot to which a key of a service belongs.
///
/// It is written out here (FNV-1a) rather than taken from a library: two nodes whose library
/// versions hash differently would send one key to two owners, and both would run it.
pub fn slot_of(service: &str, key: &str) -> usize {
    let mut hash = FNV_OFFSET;
    for byte in service.bytes().chain([0]).chain(key.bytes()) {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(FNV_PRIME);
    }
    ((hash ^ (hash >> 32)) % SLOTS as u64) as usize
}
