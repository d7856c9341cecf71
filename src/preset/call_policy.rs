//! The policy that the preset in force assigns to one call.

/// The result of classifying a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPolicy {
    /// 0 is the most important class of the preset.
    pub class: u8,
    /// Running the call twice would do harm, so it runs at most once.
    pub non_idempotent: bool,
    /// The longest wait in one guard's queue.
    pub wait_ms: u32,
    /// The deadline of the whole call when the caller gives none.
    pub deadline_ms: u32,
}
