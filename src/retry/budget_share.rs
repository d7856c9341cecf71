//! A node's part of the system-wide retry bound.

/// The part of a [`crate::retry::RetryBound`] that one node uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// Retries for each first attempt.
    pub ratio: f32,
    /// Retries for each first attempt that keep the bound whatever a predecessor has spent.
    pub reserve_ratio: f32,
    /// Retries allowed in addition to `ratio`.
    pub slack: f32,
    pub window_ms: u64,
}
