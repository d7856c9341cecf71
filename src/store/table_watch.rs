//! Watching a table: a snapshot of its rows first, then every change.

use std::sync::Arc;

use crate::core::Name;
use crate::errors::StoreError;
use crate::store::RowChange;
use crate::store::Store;
use crate::store::StoredRow;

/// The backoff after the first failure, in milliseconds. It doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 100;
/// The default upper bound of the backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;
/// The largest number of doublings, so that `INITIAL_BACKOFF_MS << failures` cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff with jitter, so that nodes that failed together do not retry together.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure and returns the backoff in milliseconds. `random` is uniform in 0..1.
    pub fn after_failure(&mut self, random: f64) -> u64 {
        self.after_failure_up_to(MAX_BACKOFF_MS, random)
    }

    /// Like [`Backoff::after_failure`], but at most `max_ms`.
    pub fn after_failure_up_to(&mut self, max_ms: u64, random: f64) -> u64 {
        let doubled = INITIAL_BACKOFF_MS << self.failures;
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        (doubled.min(max_ms) as f64 * (0.5 + random / 2.0)) as u64
    }

    /// Resets the backoff after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// The position in a table's change feed up to which all changes are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Position {
    era: u64,
    version: u64,
}

/// A batch of rows from a table's change feed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableChanges {
    pub rows: Vec<RowChange>,
    /// These are all rows of the part: a row that is not among them does not exist.
    pub is_snapshot: bool,
}

/// Watches one part of a table for changes.
///
/// Guards against a feed that no longer holds the changes that were missed. The store may report
/// this as [`StoreError::HistoryGone`] or not at all, so the whole part is reread after every
/// failure. No change is lost, because a read is a consistent snapshot and the feed continues from
/// its version.
///
/// Guards against a store that was restored from an older backup. It assigns the same versions
/// again, and changes up to the known version would be missed without an error. When the era has
/// increased, the whole part is therefore reread.
pub struct TableWatch {
    store: Arc<dyn Store>,
    table: Name,
    part: Name,
    /// `None` before the first read and after a failure: the next call reads the whole part.
    position: Option<Position>,
}

impl TableWatch {
    /// A watch on a part, starting with a snapshot of its rows.
    pub fn new(store: Arc<dyn Store>, table: Name, part: Name) -> Self {
        Self {
            store,
            table,
            part,
            position: None,
        }
    }

    /// The next batch: all rows after a start, a failure or a restore of the store, else the
    /// changes within `wait_ms`.
    ///
    /// # Errors
    /// When the call to the store fails. The next call then reads the whole part.
    pub async fn next(&mut self, wait_ms: u64) -> Result<TableChanges, StoreError> {
        let Some(known) = self.position.take() else {
            return self.read_all().await;
        };
        let table = self.table.clone();
        let answered = self.store.changes(table, known.version, wait_ms).await?;
        if answered.era != known.era {
            return self.read_all().await;
        }
        let changes = answered.value;
        self.position = Some(Position {
            era: known.era,
            version: changes.version.max(known.version),
        });
        let mut rows = changes.rows;
        rows.retain(|row| row.name.part == self.part);
        Ok(TableChanges {
            rows,
            is_snapshot: false,
        })
    }

    async fn read_all(&mut self) -> Result<TableChanges, StoreError> {
        let (table, part) = (self.table.clone(), self.part.clone());
        let answered = self.store.read_part(table, part).await?;
        let read = answered.value;
        self.position = Some(Position {
            era: answered.era,
            version: read.version,
        });
        let as_change = |row: StoredRow| RowChange {
            name: row.name,
            value: Some(row.value),
            version: row.version,
        };
        Ok(TableChanges {
            rows: read.rows.into_iter().map(as_change).collect(),
            is_snapshot: true,
        })
    }
}
