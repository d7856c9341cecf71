//! The pressure of the most overloaded service.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// The most overloaded service on the path of a call, as piggybacked on answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pressure {
    pub service: Name,
    /// See [`crate::admission::Admission::pressure_permille`].
    pub permille: u32,
}
