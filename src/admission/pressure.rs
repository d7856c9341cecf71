//! How hard calls press on the service that is pressed most.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// The most pressed service on a call's way, as it is piggybacked on answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pressure {
    pub service: Name,
    /// See [`crate::admission::Admission::pressure_permille`].
    pub permille: u32,
}
