//! The messages of the table service and of the object store, as JSON
//! ([docs/TABLE_SERVICE.md](../../docs/PLATFORM.md)).

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// The longest key or object name, in bytes.
pub const MAX_KEY_BYTES: usize = 512;
/// The largest value of a row, in bytes.
pub const MAX_VALUE_BYTES: usize = 400 * 1024;
/// The largest object, in bytes.
pub const MAX_OBJECT_BYTES: usize = 16 * 1024 * 1024;
/// How many checks, puts and deletes one transaction may hold.
pub const MAX_TRANSACTION_ITEMS: usize = 100;
/// How many rows of a scan cost one read.
pub const SCAN_ROWS_PER_READ: usize = 16;
/// The header by which a client states its failure domain, so that faults can be scripted for it.
pub const DOMAIN_HEADER: &str = "sassafrasgap-domain";

/// A row as a get answers it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Rises with every change of any row, so that a row deleted and written again never repeats
    /// an earlier version.
    pub version: u64,
    pub value: String,
}

/// A row of a scan.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyedRow {
    pub key: Name,
    pub version: u64,
    pub value: String,
}

/// All rows whose keys begin with the prefix, in the order of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Scan {
    pub rows: Vec<KeyedRow>,
}

/// A condition of a transaction: the row has this version, or does not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Check {
    pub key: Name,
    pub version: Option<u64>,
}

/// A row to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Put {
    pub key: Name,
    pub value: String,
}

/// Conditions and changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Transaction {
    #[serde(default)]
    pub checks: Vec<Check>,
    #[serde(default)]
    pub puts: Vec<Put>,
    #[serde(default)]
    pub deletes: Vec<Name>,
}

impl Transaction {
    /// Writes one row on condition that it has `version`, or does not exist for `None`.
    pub fn put_if(key: impl Into<Name>, version: Option<u64>, value: impl Into<String>) -> Self {
        Self::default().and_put_if(key, version, value)
    }

    /// Adds a conditional write of a further row.
    pub fn and_put_if(
        mut self,
        key: impl Into<Name>,
        version: Option<u64>,
        value: impl Into<String>,
    ) -> Self {
        let key = key.into();
        self.checks.push(Check {
            key: key.clone(),
            version,
        });
        let value = value.into();
        self.puts.push(Put { key, value });
        self
    }

    /// How many writes it costs.
    pub fn writes(&self) -> usize {
        (self.puts.len() + self.deletes.len()).max(1)
    }

    /// The version that the transaction demands of a row: `None` when it does not check the row,
    /// `Some(None)` when the row must not exist.
    pub fn checked_version(&self, key: &str) -> Option<Option<u64>> {
        let check = self.checks.iter().find(|check| &*check.key == key)?;
        Some(check.version)
    }
}

/// The version that a put got.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyVersion {
    pub key: Name,
    pub version: u64,
}

/// The answer to a transaction that took effect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Committed {
    pub versions: Vec<KeyVersion>,
}

/// The row that a check found otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Conflict {
    pub key: Name,
    /// `None` when the row does not exist.
    pub version: Option<u64>,
    pub value: Option<String>,
}

/// The body of a 409.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConflictAnswer {
    pub conflict: Conflict,
}

/// Whether a key or object name can stand in a path and a query without being encoded.
pub fn is_valid_key(key: &str) -> bool {
    let legal = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/:@=,".contains(&byte);
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(legal)
}
