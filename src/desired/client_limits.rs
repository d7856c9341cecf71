//! What callers may send, and how long they may take over it.

use serde::Deserialize;
use serde::Serialize;

/// Bounds on callers' requests and connections, as the operator sets them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClientLimits {
    /// The longest request head.
    pub max_header_bytes: usize,
    /// The longest request body.
    pub max_body_bytes: usize,
    /// How long a caller may take over a request head.
    pub header_timeout_ms: u64,
    /// How long a caller's connection is kept without a request.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    /// Generous bounds that hold until the operator has set others.
    fn default() -> Self {
        Self {
            max_header_bytes: 64 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}
