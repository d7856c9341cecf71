//! The bound on requests a second that a backend server names.

use crate::core::TimeMs;

/// So many requests a second are let through whatever is named. Without any, no answer could tell that the
/// limit has ended.
const LEAST_PER_S: f64 = 0.25;
/// How long tokens gather while none is taken, in seconds.
const BURST_S: f64 = 0.5;

/// Tokens that accrue at a rate, one for each request.
///
/// In any span of T seconds it gives out at most 1 + ([`BURST_S`] + T) x the rate, so a receiver that
/// counts over windows sees little more than what it named, however the requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    per_s: f64,
    tokens: f64,
    at: TimeMs,
}

impl TokenBucket {
    /// An empty bucket: what was sent before the rate was named counts in the first window as well.
    pub fn new(per_s: f64, now: TimeMs) -> Self {
        Self {
            per_s: per_s.max(LEAST_PER_S),
            tokens: 0.0,
            at: now,
        }
    }

    /// Takes over another rate. What has gathered is kept up to the new depth.
    pub fn set_per_s(&mut self, per_s: f64, now: TimeMs) {
        self.refill(now);
        self.per_s = per_s.max(LEAST_PER_S);
        self.tokens = self.tokens.min(self.depth());
    }

    /// Lets tokens accrue until `now`.
    pub fn refill(&mut self, now: TimeMs) {
        let gained = now.since(self.at) as f64 / 1_000.0 * self.per_s;
        self.tokens = (self.tokens + gained).min(self.depth());
        self.at = now;
    }

    /// Whether a request may be sent, as of the last refill.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// A request is sent.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// How long it takes until `requests` more may have been sent, in milliseconds, as of the last refill.
    pub fn wait_ms(&self, requests: usize) -> u64 {
        let missing = requests as f64 - self.tokens;
        (missing.max(0.0) / self.per_s * 1_000.0).ceil() as u64
    }

    /// How many requests a second it lets through.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// How much of the depth is taken, in thousandths, as of the last refill.
    pub fn taken_permille(&self) -> u64 {
        (1_000.0 - self.tokens / self.depth() * 1_000.0) as u64
    }

    fn depth(&self) -> f64 {
        1.0 + self.per_s * BURST_S
    }
}
