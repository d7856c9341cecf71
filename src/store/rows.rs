//! Rows of the store, and the types for reading and changing them.

use crate::core::Name;

/// The address of a row. Rows of one part can be changed in one transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowName {
    pub table: Name,
    pub part: Name,
    pub key: Name,
}

impl RowName {
    /// A row of a table whose only part is unnamed.
    pub fn new(table: impl Into<Name>, key: impl Into<Name>) -> Self {
        Self {
            table: table.into(),
            part: Name::from(""),
            key: key.into(),
        }
    }
}

/// A row as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    pub name: RowName,
    pub value: Vec<u8>,
    /// Increases with every change of the row, and is unique within an era of the store.
    pub version: u64,
}

/// All rows of a part, and the version of the store when they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowsRead {
    pub rows: Vec<StoredRow>,
    pub version: u64,
}

/// A conditional write: it is applied only if the row is at `expected_version` (0: does not exist).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowPut {
    pub name: RowName,
    pub value: Vec<u8>,
    pub expected_version: u64,
}

/// A row that was written or deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    pub name: RowName,
    /// `None` when the row was deleted.
    pub value: Option<Vec<u8>>,
    pub version: u64,
}

/// Changes in order, and the version to continue from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    pub rows: Vec<RowChange>,
    pub version: u64,
}

/// The smallest key greater than `key`: no key sorts between a key and the same key with a zero
/// byte appended.
pub fn key_after(key: &str) -> Name {
    Name::from(format!("{key}\0"))
}
