//! The rows of the table service, in memory.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::core::Name;
use crate::table_service::protocol::Check;
use crate::table_service::protocol::Committed;
use crate::table_service::protocol::Conflict;
use crate::table_service::protocol::KeyVersion;
use crate::table_service::protocol::KeyedRow;
use crate::table_service::protocol::Put;
use crate::table_service::protocol::Row;
use crate::table_service::protocol::Transaction;

/// The maximum number of rows. The stand-in serves tests and demos, not production.
const MAX_ROWS: usize = 1_000_000;

/// Why a transaction did not take effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    Conflict(Conflict),
    Full,
}

/// All rows, ordered by key so that prefixes can be scanned.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<Name, Row>,
    last_version: u64,
}

impl Table {
    /// One row.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// All rows whose keys begin with `prefix`.
    pub fn scan(&self, prefix: &str) -> Vec<KeyedRow> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        self.rows
            .range::<str, _>(from)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, row)| keyed(key, row))
            .collect()
    }

    /// Applies all changes if all checks hold, and none otherwise.
    ///
    /// # Errors
    /// The first check that failed, or `Full` if the row limit would be exceeded.
    pub fn transact(&mut self, transaction: &Transaction) -> Result<Committed, Rejection> {
        for check in &transaction.checks {
            self.verify(check)?;
        }
        if self.rows.len() + transaction.puts.len() > MAX_ROWS {
            return Err(Rejection::Full);
        }
        for key in &transaction.deletes {
            self.rows.remove(key);
        }
        let versions = transaction.puts.iter().map(|put| self.put(put)).collect();
        Ok(Committed { versions })
    }

    fn verify(&self, check: &Check) -> Result<(), Rejection> {
        let found = self.rows.get(&check.key);
        let version = found.map(|row| row.version);
        if version == check.version {
            return Ok(());
        }
        Err(Rejection::Conflict(Conflict {
            key: check.key.clone(),
            version,
            value: found.map(|row| row.value.clone()),
        }))
    }

    fn put(&mut self, put: &Put) -> KeyVersion {
        self.last_version += 1;
        let version = self.last_version;
        let value = put.value.clone();
        self.rows.insert(put.key.clone(), Row { version, value });
        KeyVersion {
            key: put.key.clone(),
            version,
        }
    }
}

fn keyed(key: &Name, row: &Row) -> KeyedRow {
    KeyedRow {
        key: key.clone(),
        version: row.version,
        value: row.value.clone(),
    }
}
