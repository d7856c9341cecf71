//! Rows, and what is said about them.

use crate::core::Name;

/// Where a row lies. Rows of one part can be changed in one transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RowName {
    pub table: Name,
    pub part: Name,
    pub key: Name,
}

impl RowName {
    /// A row of a table that has one part without a name.
    pub fn new(table: impl Into<Name>, key: impl Into<Name>) -> Self {
        Self {
            table: table.into(),
            part: Name::from(""),
            key: key.into(),
        }
    }
}

/// A row as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    pub name: RowName,
    pub value: Vec<u8>,
    /// Rises with every change of the row, and does not repeat within an era of the store.
    pub version: u64,
}

/// All rows of a part, and the store's version when they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowsRead {
    pub rows: Vec<StoredRow>,
    pub version: u64,
}

/// One row to write, on the condition that it is still at a version (0: that there is none).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowPut {
    pub name: RowName,
    pub value: Vec<u8>,
    pub expected_version: u64,
}

/// A row that changed, or was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    pub name: RowName,
    /// `None` when the row was dropped.
    pub value: Option<Vec<u8>>,
    pub version: u64,
}

/// Changes in order, and the version from which to ask on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    pub rows: Vec<RowChange>,
    pub version: u64,
}

/// The first key that may come after this one: no key lies between a key and the same with a zero byte.
pub fn key_after(key: &str) -> Name {
    Name::from(format!("{key}\0"))
}
