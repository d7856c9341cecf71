//! How stubbornly callers send again what did not succeed.

use serde::Deserialize;
use serde::Serialize;

/// The behaviour of callers after a refusal, a failure or silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResendPolicy {
    /// How often a whole request is sent again, each time through the next entry.
    pub times: u32,
    /// The wait before the next sending.
    pub wait_ms: u64,
    /// How long a caller waits for one answer before it sends again, within its deadline.
    pub attempt_timeout_ms: u64,
    /// Whether callers wait as long as a refusal asks them to.
    pub honour_retry_after: bool,
}

impl Default for ResendPolicy {
    fn default() -> Self {
        Self {
            times: 0,
            wait_ms: 100,
            attempt_timeout_ms: 60_000,
            honour_retry_after: false,
        }
    }
}
