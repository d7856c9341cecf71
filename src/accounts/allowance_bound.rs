//! The bound on how far the fleet may exceed an account's allowance.

/// The bound on the requests of one account, over all nodes, in any window of this length: the
/// allowance of the window, multiplied by 1 + `overage`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceBound {
    pub window_ms: u64,
    pub overage: f32,
    pub slack: f32,
}

impl Default for AllowanceBound {
    /// The bound of a deployment that sets none. It keeps the fleet close to the allowances.
    fn default() -> Self {
        Self {
            window_ms: 5_000,
            overage: 0.1,
            slack: 20.0,
        }
    }
}
