//! What a backend server has said of itself in its answers, as nodes tell it each other.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// The words of one incarnation. They travel with calls and answers only while there are any.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Advertisement {
    pub incarnation: Name,
    /// When it started, in Unix milliseconds, if it has said so: an identifier may be borne again.
    pub started_unix_ms: Option<u64>,
    /// It has said that it leaves, in an answer or in a report.
    pub is_leaving: bool,
    /// How many requests a second it takes from all nodes together, in thousandths.
    pub rate_milli: Option<u64>,
}
