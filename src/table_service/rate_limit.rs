//! The rate limits of the platform.

use crate::core::TimeMs;

/// A token bucket that holds at most one second's worth.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_s: f64,
    tokens: f64,
    filled_at: TimeMs,
}

impl RateLimit {
    /// A full bucket.
    pub fn new(per_s: u32) -> Self {
        Self {
            per_s: f64::from(per_s),
            tokens: f64::from(per_s),
            filled_at: TimeMs(0),
        }
    }

    /// Takes `cost` tokens, or none when there are too few. What costs more than a full bucket
    /// passes when the bucket is full, and leaves a debt.
    pub fn take(&mut self, now: TimeMs, cost: usize) -> bool {
        let gained = now.since(self.filled_at) as f64 * self.per_s / 1000.0;
        self.tokens = (self.tokens + gained).min(self.per_s);
        self.filled_at = now;
        let cost = cost as f64;
        if self.tokens < cost.min(self.per_s) {
            return false;
        }
        self.tokens -= cost;
        true
    }
}
