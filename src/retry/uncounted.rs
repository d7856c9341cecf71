//! Retries that a budget has not counted.

use crate::core::TimeMs;

/// Retries that were made before a budget began to count, by the predecessor of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Uncounted {
    /// Until then, some of them may be in the window that ends now.
    pub until: TimeMs,
    /// How many there are at most; `None` if that is unknown.
    pub retries: Option<f32>,
}
