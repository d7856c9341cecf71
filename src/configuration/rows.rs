//! The rows of the platform's table that hold the configuration.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::core::Name;
use crate::errors::ConfigError;

/// The row that names the preset in force. It is polled, so it is kept small: the change log and
/// the document are in separate rows.
pub const IN_FORCE_KEY: &str = "in_force";
/// The row with the latest changes, written together with [`IN_FORCE_KEY`].
pub const CHANGE_LOG_KEY: &str = "in_force_log";
/// The key prefix of the rows that name the latest revision of each preset.
pub const LATEST_PREFIX: &str = "preset_latest/";
/// The largest number of changes in the log. A change whose answer was lost is looked up in the
/// log, so the log must have room for the changes that other operators make in the meantime.
const MAX_LOGGED_CHANGES: usize = 32;

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InForceRow {
    /// Increases with every switch.
    pub version: u64,
    pub preset: Name,
    pub revision: u64,
    /// The hash of the document, see [`document_hash`](crate::configuration::document_hash).
    pub hash: String,
    pub change_id: Name,
}

/// One switch in the change log.
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

/// The latest switches, newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeLog {
    pub changes: Vec<PastChange>,
}

impl ChangeLog {
    /// Appends a switch and drops the oldest ones beyond the limit.
    pub fn push(&mut self, change: PastChange) {
        self.changes.push(change);
        let surplus = self.changes.len().saturating_sub(MAX_LOGGED_CHANGES);
        self.changes.drain(..surplus);
    }

    /// The version of the last switch, or 0 if there was none.
    pub fn version(&self) -> u64 {
        self.changes.last().map_or(0, |last| last.version)
    }

    /// The switch made under this change id.
    pub fn find(&self, change_id: &str) -> Option<&PastChange> {
        self.changes
            .iter()
            .find(|change| &*change.change_id == change_id)
    }

    /// Whether every switch after `version` is still in the log.
    pub fn covers_changes_after(&self, version: u64) -> bool {
        let is_complete = self.changes.len() < MAX_LOGGED_CHANGES;
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

/// Decodes a row's value.
pub fn decode<T: DeserializeOwned>(key: &str, value: &str) -> Result<T, ConfigError> {
    serde_json::from_str(value).map_err(|source| ConfigError::MalformedRow {
        key: Name::from(key),
        source,
    })
}

/// Encodes a row's value.
pub fn encode<T: Serialize>(row: &T) -> String {
    serde_json::to_string(row).expect("plain structs always encode")
}
