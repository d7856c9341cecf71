//! Which requests are logged in full, the same ones at every node.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// One request in this is logged whatever becomes of it.
const SAMPLED_PART: u64 = 64;

/// The log target of lines on sampled requests: they are kept whatever else is said at the moment, so
/// that the way of such a request can be followed through all nodes.
pub const SAMPLED: &str = "sampled";

/// Whether a request's ordinary events are logged. It follows from the identifier alone, so that all
/// nodes on its way decide alike.
pub fn is_sampled(request: &str) -> bool {
    let mut hasher = FxHasher::default();
    hasher.write(request.as_bytes());
    // The upper bits of this hash are the well mixed ones.
    (hasher.finish() >> 32).is_multiple_of(SAMPLED_PART)
}
