//! A change of the configuration by an operator.

use crate::core::Name;

/// Who changes something, under which id.
///
/// The id is written with the change. After a lost answer it tells this change from one of
/// another operator to the same preset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub change_id: Name,
    pub operator: Name,
    /// Seconds since 1970, for display only.
    pub at_unix_s: u64,
}
