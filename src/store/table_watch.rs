//! Following a table: its rows first, then every change.

use std::sync::Arc;

use crate::core::Name;
use crate::errors::StoreError;
use crate::store::RowChange;
use crate::store::Store;

/// The pause after a first failure, in milliseconds; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 100;
/// The longest pause unless another one is asked for, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 1_000;
/// How often a pause doubles at most, so that it cannot overflow.
const MOST_DOUBLINGS: u32 = 16;

/// Growing pauses after failures, spread so that nodes that failed together do not return
/// together.
#[derive(Clone, Debug, Default)]
pub struct WatchPause {
    failures: u32,
}

impl WatchPause {
    /// The pause after one more failure. `random` is uniform in 0..1.
    pub fn after_failure(&mut self, random: f64) -> u64 {
        self.up_to(LONGEST_PAUSE_MS, random)
    }

    /// The same, at most `longest_ms`.
    pub fn up_to(&mut self, longest_ms: u64, random: f64) -> u64 {
        let doubled = FIRST_PAUSE_MS << self.failures;
        self.failures = (self.failures + 1).min(MOST_DOUBLINGS);
        (doubled.min(longest_ms) as f64 * (0.5 + random / 2.0)) as u64
    }

    /// A call succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// One part of a table, followed from one version to the next.
///
/// Guards against a feed that has forgotten what was missed: it shows as [`StoreError::HistoryGone`]
/// or not at all, so after every failure the whole part is read anew. It holds because a read is of
/// one moment and the feed goes on from just that moment.
pub struct TableWatch {
    store: Arc<dyn Store>,
    table: Name,
    part: Name,
    /// Up to which version everything is known; `None` before the first read.
    known_to: Option<u64>,
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

    /// The next news: all rows after a start or a failure, later what changed within `wait_ms`.
    ///
    /// # Errors
    /// What the store's call failed with. The next call then reads the whole part.
    pub async fn next(&mut self, wait_ms: u64) -> Result<Vec<RowChange>, StoreError> {
        let Some(after) = self.known_to.take() else {
            return self.read_all().await;
        };
        let changes = self
            .store
            .changes(self.table.clone(), after, wait_ms)
            .await?;
        self.known_to = Some(changes.version.max(after));
        let mut rows = changes.rows;
        rows.retain(|row| row.name.part == self.part);
        Ok(rows)
    }

    async fn read_all(&mut self) -> Result<Vec<RowChange>, StoreError> {
        let read = self
            .store
            .read_part(self.table.clone(), self.part.clone())
            .await?;
        let (rows, version) = read;
        self.known_to = Some(version);
        let as_change = |row: crate::store::StoredRow| RowChange {
            name: row.name,
            value: Some(row.value),
            version: row.version,
        };
        Ok(rows.into_iter().map(as_change).collect())
    }
}
