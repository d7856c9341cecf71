//! The departure of a backend server.

use crate::core::Name;

/// An incarnation of a backend server that is leaving or has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    pub incarnation: Name,
    /// When it started, in Unix milliseconds, if it reported it.
    pub started_unix_ms: Option<u64>,
}
