//! Retries that a budget has not counted.

use crate::core::TimeMs;

/// Retries that were made before a budget began to count, for example by a process that was killed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Uncounted {
    /// All of them were made before this time.
    pub before: TimeMs,
    /// Retries for each first attempt that are allowed in addition, as long as they may be in the
    /// same window.
    pub reserve_ratio: f32,
}
