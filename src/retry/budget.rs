//! The bound on retries to one service in sum, as a ratio of first attempts.
//!
//! Guards against many small allotments adding up when a whole service fails: each request alone
//! stays within its bound and yet the service sees a multiple of its load. It holds because every
//! retry takes a token, and only first attempts bring tokens.

/// Tokens are counted in thousandths so that a ratio needs no fractions.
const TOKEN: u64 = 1_000;

/// A token bucket filled by first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    per_first_attempt: u64,
    cap: u64,
    tokens: u64,
}

impl RetryBudget {
    /// Allows `ratio_percent` retries per hundred first attempts, and bursts of `burst` retries.
    pub fn new(ratio_percent: u32, burst: u32) -> Self {
        let cap = u64::from(burst) * TOKEN;
        Self {
            per_first_attempt: u64::from(ratio_percent) * TOKEN / 100,
            cap,
            tokens: cap,
        }
    }

    /// Notes a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.per_first_attempt).min(self.cap);
    }

    /// Takes a retry out of the budget; false when it is spent.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < TOKEN {
            return false;
        }
        self.tokens -= TOKEN;
        true
    }
}
