//! Digests that show two nodes cheaply whether they hold the same entries.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Number of buckets in which a member table is compared.
pub const BUCKETS: usize = 64;

/// The digest of one versioned name. The digest of a set is the exclusive or of the digests of its
/// entries, so that members can be added and removed one at a time.
pub fn entry_digest(name: &str, version: u64) -> u32 {
    let mut hasher = FxHasher::default();
    hasher.write(name.as_bytes());
    hasher.write_u64(version);
    (hasher.finish() >> 32) as u32
}

/// The bucket of a member.
pub fn bucket_of(name: &str) -> usize {
    entry_digest(name, 0) as usize % BUCKETS
}

/// A short hash of a failure domain's name.
pub fn domain_hash(domain: &str) -> u16 {
    entry_digest(domain, 0) as u16
}
