//! The state of a retry budget, for metrics and the log.

/// How much of a node's retry budget for one service is used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetUse {
    /// Retries allowed in the window that ends now.
    pub allowed: f32,
    /// Retries in that window, including calls made by work that is itself a retry.
    pub spent: f32,
    /// Retries denied since the start.
    pub denied: u64,
}
