//! One run of one call at one backend server.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// A run as a stand-in backend server noted it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunEntry {
    /// Counts the runs of the process from 1.
    #[serde(default)]
    pub run: u64,
    /// The root request, as the node beside the backend server gave it; empty without one.
    #[serde(default)]
    pub request_id: Name,
    #[serde(default)]
    pub key: Option<Name>,
    #[serde(default)]
    pub path: Name,
    #[serde(default)]
    pub started_ms: u64,
    /// Nothing while it runs, or when the backend server crashed over it.
    #[serde(default)]
    pub ended_ms: Option<u64>,
    #[serde(default)]
    pub completed: bool,
    #[serde(default)]
    pub cancelled: bool,
}
