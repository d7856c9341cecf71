//! Digests by which two nodes see cheaply whether they hold the same.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// How many parts a member table is compared in.
pub const BUCKETS: usize = 64;

/// The digest of one versioned name. Digests of a set are combined by exclusive or, so that
/// members are added and taken away one by one.
pub fn entry_digest(name: &str, version: u64) -> u32 {
    let mut hasher = FxHasher::default();
    hasher.write(name.as_bytes());
    hasher.write_u64(version);
    (hasher.finish() >> 32) as u32
}

/// The part of the table in which a member is compared.
pub fn bucket_of(name: &str) -> usize {
    entry_digest(name, 0) as usize % BUCKETS
}

/// A short hash of a failure domain's name.
pub fn domain_hash(domain: &str) -> u16 {
    entry_digest(domain, 0) as u16
}
