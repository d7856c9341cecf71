//! The rate limiter of the stand-in platform.

use crate::core::TimeMs;

/// A token bucket with a capacity of one second's tokens.
#[derive(Clone, Debug)]
pub struct RateLimit {
    per_s: f64,
    tokens: f64,
    refilled_at: TimeMs,
}

impl RateLimit {
    /// A full bucket.
    pub fn new(per_s: u32) -> Self {
        Self {
            per_s: f64::from(per_s),
            tokens: f64::from(per_s),
            refilled_at: TimeMs(0),
        }
    }

    /// Takes `cost` tokens, or none if there are too few. A request that costs more than the
    /// capacity is admitted when the bucket is full, and leaves a negative balance.
    pub fn take(&mut self, now: TimeMs, cost: usize) -> bool {
        let gained = now.since(self.refilled_at) as f64 * self.per_s / 1000.0;
        self.tokens = (self.tokens + gained).min(self.per_s);
        self.refilled_at = now;
        let cost = cost as f64;
        if self.tokens < cost.min(self.per_s) {
            return false;
        }
        self.tokens -= cost;
        true
    }
}
