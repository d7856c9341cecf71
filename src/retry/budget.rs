//! The bound on all retries to one service, as a ratio of first attempts.
//!
//! When a whole service fails, many small allotments add up: each request stays within its bound,
//! and yet the service receives a multiple of its load. Every retry therefore takes a token from
//! the budget, and only first attempts add tokens.

/// One token. Tokens are counted in thousandths, so a ratio in percent is a whole number of them.
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

    /// Records a first attempt, which adds tokens.
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
