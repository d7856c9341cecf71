//! The bound on retries.

/// The bound on retries to one service in each window, for the whole system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries for each first attempt.
    pub ratio: f32,
    /// Retries allowed in addition.
    pub slack: f32,
    pub window_ms: u64,
}
