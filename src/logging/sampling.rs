//! Selects the requests that are logged in full, the same ones on every node.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// One request in this many is logged, whatever its outcome.
const SAMPLE_ONE_IN: u64 = 64;

/// The log target of lines on sampled requests. They bypass the filter and the rate limit, so that
/// such a request can be traced through all nodes.
pub const SAMPLED: &str = "sampled";

/// Whether a request's ordinary events are logged. The decision depends only on the identifier, so
/// that all nodes on the request's path decide the same.
pub fn is_sampled(request: &str) -> bool {
    let mut hasher = FxHasher::default();
    hasher.write(request.as_bytes());
    // The upper bits of this hash are better mixed than the lower ones.
    (hasher.finish() >> 32).is_multiple_of(SAMPLE_ONE_IN)
}
