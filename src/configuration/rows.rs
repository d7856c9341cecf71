//! The rows of the platform's table that hold the configuration.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::core::Name;
use crate::errors::ConfigError;

/// The row that says what is in force. It is polled, so it is kept small: the log of changes and
/// the document are rows of their own.
pub const IN_FORCE_KEY: &str = "in_force";
/// The row with the last changes; written together with [`IN_FORCE_KEY`].
pub const CHANGE_LOG_KEY: &str = "in_force_log";
/// Prefix of the rows that name the latest revision of each preset.
pub const LATEST_PREFIX: &str = "preset_latest/";
/// How many changes the log keeps. A change whose answer was lost is looked up in it, so it must
/// outlast the changes that other operators can make in the meantime.
const LOGGED_CHANGES: usize = 32;

/// What is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InForceRow {
    /// Rises with every switch.
    pub version: u64,
    pub preset: Name,
    pub revision: u64,
    /// Of the document, see [`document_hash`](crate::configuration::document_hash).
    pub hash: String,
    pub change_id: Name,
}

/// One switch, as the log keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PastChange {
    pub version: u64,
    pub preset: Name,
    pub revision: u64,
    pub change_id: Name,
    pub operator: Name,
    /// Seconds since 1970, for display only.
    pub at_unix_s: u64,
}

/// The last switches, newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeLog {
    pub changes: Vec<PastChange>,
}

impl ChangeLog {
    /// Adds a switch and drops the oldest beyond the bound.
    pub fn push(&mut self, change: PastChange) {
        self.changes.push(change);
        let surplus = self.changes.len().saturating_sub(LOGGED_CHANGES);
        self.changes.drain(..surplus);
    }

    /// The version of the last switch, 0 when there was none.
    pub fn version(&self) -> u64 {
        self.changes.last().map_or(0, |last| last.version)
    }

    /// The switch made under this change id.
    pub fn find(&self, change_id: &str) -> Option<&PastChange> {
        self.changes
            .iter()
            .find(|change| &*change.change_id == change_id)
    }

    /// Whether a switch that followed version `version` would still be listed.
    pub fn covers_changes_after(&self, version: u64) -> bool {
        let is_complete = self.changes.len() < LOGGED_CHANGES;
        let oldest = self.changes.first();
        is_complete || oldest.is_none_or(|oldest| oldest.version <= version + 1)
    }
}

/// The latest revision of one preset.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LatestRow {
    pub revision: u64,
    pub hash: String,
    pub change_id: Name,
    pub operator: Name,
    /// Seconds since 1970, for display only.
    pub at_unix_s: u64,
}

/// The key of the immutable document of one revision.
pub fn document_key(preset: &str, revision: u64) -> Name {
    Name::from(format!("preset/{preset}/{revision}"))
}

/// The key of the row that names the latest revision of a preset.
pub fn latest_key(preset: &str) -> Name {
    Name::from(format!("{LATEST_PREFIX}{preset}"))
}

/// Reads a row's value.
pub fn decode<T: DeserializeOwned>(key: &str, value: &str) -> Result<T, ConfigError> {
    serde_json::from_str(value).map_err(|source| ConfigError::MalformedRow {
        key: Name::from(key),
        source,
    })
}

/// Writes a row's value.
pub fn encode<T: Serialize>(row: &T) -> String {
    serde_json::to_string(row).expect("plain structs always encode")
}
