//! The JSON messages of the table service and the object store
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
/// How many checks, puts and deletes one transaction may contain.
pub const MAX_TRANSACTION_ITEMS: usize = 100;
/// How many rows of a scan are charged as one read.
pub const SCAN_ROWS_PER_READ: usize = 16;
/// The header in which a client states its failure domain, so that faults can be scripted by
/// domain.
pub const DOMAIN_HEADER: &str = "sassafrasgap-domain";

/// A row as returned by a get.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Taken from a counter that increases with every write to any row. A row that is deleted and
    /// written again therefore never reuses an earlier version.
    pub version: u64,
    pub value: String,
}

/// A row as returned by a scan.
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

/// A precondition of a transaction: the row has this version, or does not exist for `None`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Check {
    pub key: Name,
    pub version: Option<u64>,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Put {
    pub key: Name,
    pub value: String,
}

/// Preconditions and changes that are applied atomically.
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
    /// Writes one row if it has `version`, or does not exist for `None`.
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

    /// How many writes the rate limit charges for the transaction.
    pub fn writes(&self) -> usize {
        (self.puts.len() + self.deletes.len()).max(1)
    }

    /// The version that the transaction requires of a row: `None` when it does not check the row,
    /// `Some(None)` when the row must not exist.
    pub fn checked_version(&self, key: &str) -> Option<Option<u64>> {
        let check = self.checks.iter().find(|check| &*check.key == key)?;
        Some(check.version)
    }
}

/// The version assigned to a written row.
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

/// The row whose version did not match a check.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Conflict {
    pub key: Name,
    /// `None` when the row does not exist.
    pub version: Option<u64>,
    pub value: Option<String>,
}

/// The body of a 409 answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConflictAnswer {
    pub conflict: Conflict,
}

/// Whether a key or object name can be used in a path and a query without encoding.
pub fn is_valid_key(key: &str) -> bool {
    let legal = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/:@=,".contains(&byte);
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(legal)
}
