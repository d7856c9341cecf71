//! What the preset in force says about one call.

/// The result of classifying a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPolicy {
    /// 0 is the most important class of the preset.
    pub class: u8,
    /// A second run would do harm: the call runs at most once.
    pub non_idempotent: bool,
    /// The longest wait in one guard's queue.
    pub wait_ms: u32,
    /// The deadline of the whole call when the caller gives none.
    pub deadline_ms: u32,
}
