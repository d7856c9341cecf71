//! How far the fleet may run ahead of an account's allowance.

/// The bound on what is sent of one account, over all nodes, in any window of this length: the allowance of
/// the window, times one and the overage, and the slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceBound {
    pub window_ms: u64,
    pub overage: f32,
    pub slack: f32,
}

impl Default for AllowanceBound {
    /// A deployment that states no bound is kept close to its allowances.
    fn default() -> Self {
        Self {
            window_ms: 5_000,
            overage: 0.1,
            slack: 20.0,
        }
    }
}
