//! Limits the rate at which one node sends updates.

use crate::core::TimeMs;

/// A token bucket in bytes.
///
/// Guards against a burst of changes, such as a cold start of all nodes or the loss of a rack, that
/// would use more than the 3 KB/s of control traffic that a node may spend. Updates that are held
/// back are sent later. Comparisons of member tables transfer those that were never sent.
#[derive(Clone, Debug)]
pub struct UpdateBudget {
    bytes_per_s: u64,
    burst_bytes: u64,
    /// In thousandths of a byte, so that a short interval does not round down to nothing.
    available_millibytes: u64,
    refilled: TimeMs,
}

impl UpdateBudget {
    pub fn new(bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            bytes_per_s,
            burst_bytes,
            available_millibytes: burst_bytes * 1_000,
            refilled: TimeMs::default(),
        }
    }

    /// The number of bytes that may be sent now.
    pub fn available_bytes(&mut self, now: TimeMs) -> u64 {
        let earned_millibytes = now.since(self.refilled).saturating_mul(self.bytes_per_s);
        self.available_millibytes =
            (self.available_millibytes + earned_millibytes).min(self.burst_bytes * 1_000);
        self.refilled = now.max(self.refilled);
        self.available_millibytes / 1_000
    }

    /// Subtracts sent bytes. The bucket never goes below empty.
    pub fn spend(&mut self, bytes: u64) {
        self.available_millibytes = self.available_millibytes.saturating_sub(bytes * 1_000);
    }
}
