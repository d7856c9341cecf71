//! Bounds the bytes of news that one node sends.

use crate::core::TimeMs;

/// A token bucket in bytes.
///
/// It guards against a flood of changes (a cold start of everything, a rack lost) that would
/// otherwise use more than the 3 KB/s of control that a node may spend. News held back leaves
/// later; comparisons of tables bring what never left.
#[derive(Clone, Debug)]
pub struct NewsBudget {
    bytes_per_s: u64,
    burst_bytes: u64,
    /// Thousandths of a byte, so that a short time does not round down to nothing.
    available_mb: u64,
    refilled: TimeMs,
}

impl NewsBudget {
    /// A full bucket.
    pub fn new(bytes_per_s: u64, burst_bytes: u64) -> Self {
        Self {
            bytes_per_s,
            burst_bytes,
            available_mb: burst_bytes * 1_000,
            refilled: TimeMs::default(),
        }
    }

    /// The bytes that may be sent now.
    pub fn available_bytes(&mut self, now: TimeMs) -> u64 {
        let earned_mb = now.since(self.refilled).saturating_mul(self.bytes_per_s);
        self.available_mb = (self.available_mb + earned_mb).min(self.burst_bytes * 1_000);
        self.refilled = now.max(self.refilled);
        self.available_mb / 1_000
    }

    /// Takes what was sent; the bucket never goes below empty.
    pub fn spend(&mut self, bytes: u64) {
        self.available_mb = self.available_mb.saturating_sub(bytes * 1_000);
    }
}
