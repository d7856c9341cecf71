//! The identity of a configuration change by an operator.

use crate::core::Name;

/// The operator of a change and the id of the change.
///
/// The id is written with the change. When the answer to a write is lost, the id distinguishes this
/// change from another operator's change to the same preset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub change_id: Name,
    pub operator: Name,
    /// Seconds since 1970, for display only.
    pub at_unix_s: u64,
}
