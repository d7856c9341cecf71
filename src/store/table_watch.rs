//! Following a table: its rows first, then every change.

use std::sync::Arc;

use crate::core::Name;
use crate::errors::StoreError;
use crate::store::RowChange;
use crate::store::Store;
use crate::store::StoredRow;

/// The pause after a first failure, in milliseconds; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 100;
/// The longest pause unless another one is asked for, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 1_000;
/// How often a pause doubles at most, so that it cannot overflow.
const MOST_DOUBLINGS: u32 = 16;

/// Growing pauses after failures, spread so that nodes that failed together do not return
/// together.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The pause after one more failure. `random` is uniform in 0..1.
    pub fn after_failure(&mut self, random: f64) -> u64 {
        self.after_failure_up_to(LONGEST_PAUSE_MS, random)
    }

    /// The same, at most `longest_ms`.
    pub fn after_failure_up_to(&mut self, longest_ms: u64, random: f64) -> u64 {
        let doubled = FIRST_PAUSE_MS << self.failures;
        self.failures = (self.failures + 1).min(MOST_DOUBLINGS);
        (doubled.min(longest_ms) as f64 * (0.5 + random / 2.0)) as u64
    }

    /// A call succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Up to where a table is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownTo {
    era: u64,
    version: u64,
}

/// What a table's feed brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableChanges {
    pub rows: Vec<RowChange>,
    /// These are all rows that there are: what is not among them is gone.
    pub is_snapshot: bool,
}

/// One part of a table, followed from one version to the next.
///
/// Guards against a feed that has forgotten what was missed: it shows as [`StoreError::HistoryGone`]
/// or not at all, so after every failure the whole part is read anew. It holds because a read is of
/// one moment and the feed goes on from just that moment.
///
/// Guards against a store that was restored from an older copy: its versions are given out again, and the
/// changes up to the one that was known would be missed without a sign. A risen era is read whole.
pub struct TableWatch {
    store: Arc<dyn Store>,
    table: Name,
    part: Name,
    /// Up to where everything is known; `None` before the first read.
    known_to: Option<KnownTo>,
}

impl TableWatch {
    /// Follows a part from its present rows on.
    pub fn new(store: Arc<dyn Store>, table: Name, part: Name) -> Self {
        Self {
            store,
            table,
            part,
            known_to: None,
        }
    }

    /// The next news: all rows after a start, a failure or a restored store, later what changed within
    /// `wait_ms`.
    ///
    /// # Errors
    /// What the store's call failed with. The next call then reads the whole part.
    pub async fn next(&mut self, wait_ms: u64) -> Result<TableChanges, StoreError> {
        let Some(known) = self.known_to.take() else {
            return self.read_all().await;
        };
        let table = self.table.clone();
        let answered = self.store.changes(table, known.version, wait_ms).await?;
        if answered.era != known.era {
            return self.read_all().await;
        }
        let changes = answered.value;
        self.known_to = Some(KnownTo {
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
        self.known_to = Some(KnownTo {
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
