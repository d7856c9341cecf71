//! Limits on what callers may send and how long they may take.

use serde::Deserialize;
use serde::Serialize;

/// Limits on callers' requests and connections, as the operator sets them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time for a caller to send a request head.
    pub header_timeout_ms: u64,
    /// How long an idle connection of a caller is kept open.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    /// Generous limits that apply until the operator has set others.
    fn default() -> Self {
        Self {
            max_header_bytes: 64 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}
