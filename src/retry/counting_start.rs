//! When the counts of a retry budget begin.

use crate::core::TimeMs;

/// Since when a budget counts all calls of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountingStart {
    pub at: TimeMs,
    /// The whole system started for the first time then, so no node made calls before.
    pub is_first_start: bool,
}
