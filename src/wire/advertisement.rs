//! The advertisement of a backend server, as nodes pass it on to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// What one incarnation of a backend server has stated in the headers of its answers.
///
/// Calls and answers carry it only while it states a rate or a departure.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Advertisement {
    /// The identifier that the backend server reported for this incarnation.
    pub incarnation: Name,
    /// When the incarnation started, in Unix milliseconds, if it was reported. It distinguishes
    /// incarnations that reuse the same identifier.
    pub started_unix_ms: Option<u64>,
    /// The incarnation announced its departure, in an answer or in a report.
    pub is_leaving: bool,
    /// The advertised rate, in thousandths of a request per second from all nodes together.
    pub rate_milli: Option<u64>,
}
