//! The limit on requests per second that a backend server advertises.

use crate::core::TimeMs;

/// A lower advertised rate is replaced by this one. Without any request, no answer could show that
/// the limit has ended.
const MIN_PER_S: f64 = 0.25;
/// How long unused tokens accumulate, in seconds.
const BURST_S: f64 = 0.5;

/// Tokens that accrue at a rate, one for each request.
///
/// In any span of T seconds it grants at most 1 + ([`BURST_S`] + T) x the rate. A receiver that
/// counts over windows sees little more than the rate it advertised, however the requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: TimeMs,
}

impl TokenBucket {
    /// Creates an empty bucket: requests sent before the rate was advertised count in the first
    /// window as well.
    pub fn new(per_s: f64, now: TimeMs) -> Self {
        Self {
            per_s: per_s.max(MIN_PER_S),
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Sets another rate. Accumulated tokens are kept up to the new depth.
    pub fn set_per_s(&mut self, per_s: f64, now: TimeMs) {
        self.refill(now);
        self.per_s = per_s.max(MIN_PER_S);
        self.tokens = self.tokens.min(self.depth());
    }

    /// Adds the tokens accrued until `now`.
    pub fn refill(&mut self, now: TimeMs) {
        let gained = now.since(self.refilled_at) as f64 / 1_000.0 * self.per_s;
        self.tokens = (self.tokens + gained).min(self.depth());
        self.refilled_at = now;
    }

    /// Whether a request may be sent, as of the last refill.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of a request that is sent.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// The time until `requests` more requests may have been sent, in milliseconds, as of the last
    /// refill.
    pub fn wait_ms(&self, requests: usize) -> u64 {
        let missing = requests as f64 - self.tokens;
        (missing.max(0.0) / self.per_s * 1_000.0).ceil() as u64
    }

    /// The rate in requests per second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// The used share of the depth, in thousandths, as of the last refill.
    pub fn taken_permille(&self) -> u64 {
        (1_000.0 - self.tokens / self.depth() * 1_000.0) as u64
    }

    fn depth(&self) -> f64 {
        1.0 + self.per_s * BURST_S
    }
}
