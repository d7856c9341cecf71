//! A store wrapper that counts calls by purpose and result.

use std::sync::Arc;

use futures::FutureExt;
use prometheus::IntCounterVec;

use crate::core::Name;
use crate::errors::StoreError;
use crate::store::Changes;
use crate::store::RowName;
use crate::store::RowPut;
use crate::store::RowsRead;
use crate::store::Store;
use crate::store::StoreCall;
use crate::store::StoredRow;

/// Counters of calls to the store.
#[derive(Clone)]
pub struct StoreCounters {
    /// All calls, by table and kind. They are counted when sent, because failed calls are billed as
    /// well.
    pub calls: IntCounterVec,
    /// Failed calls, by table, kind and reason.
    pub failures: IntCounterVec,
}

/// Forwards calls to a store and counts them by table and kind, which together identify the
/// purpose.
pub struct CountedStore {
    store: Arc<dyn Store>,
    counters: StoreCounters,
}

impl CountedStore {
    /// Wraps `store` and counts its calls in `counters`.
    pub fn new(store: Arc<dyn Store>, counters: StoreCounters) -> Self {
        Self { store, counters }
    }

    fn counted<'a, T: Send + 'a>(
        &'a self,
        table: Name,
        kind: &'static str,
        call: StoreCall<'a, T>,
    ) -> StoreCall<'a, T> {
        let calls = &self.counters.calls;
        calls.with_label_values(&[&*table, kind]).inc();
        let counted = async move {
            let result = call.await;
            if let Err(error) = &result {
                let labels = [&*table, kind, reason(error)];
                self.counters.failures.with_label_values(&labels).inc();
            }
            result
        };
        counted.boxed()
    }
}

fn reason(error: &StoreError) -> &'static str {
    match error {
        StoreError::Unreachable(_) => "unreachable",
        StoreError::NoAnswer(_) => "no_answer",
        StoreError::Unavailable => "unavailable",
        StoreError::TooManyCalls => "too_many_calls",
        StoreError::HistoryGone => "history_gone",
        StoreError::Conflict { .. } => "conflict",
        StoreError::EarlierEra { .. } => "earlier_era",
        StoreError::Refused { .. } => "refused",
        StoreError::Malformed(_) => "malformed",
    }
}

impl Store for CountedStore {
    fn read_part(&self, table: Name, part: Name) -> StoreCall<'_, RowsRead> {
        let call = self.store.read_part(table.clone(), part);
        self.counted(table, "read_part", call)
    }

    fn read_row(&self, name: RowName) -> StoreCall<'_, Option<StoredRow>> {
        let table = name.table.clone();
        self.counted(table, "read_row", self.store.read_row(name))
    }

    fn read_some(
        &self,
        table: Name,
        part: Name,
        from: Name,
        max_rows: usize,
    ) -> StoreCall<'_, Vec<StoredRow>> {
        let call = self.store.read_some(table.clone(), part, from, max_rows);
        self.counted(table, "read_some", call)
    }

    fn changes(&self, table: Name, after: u64, wait_ms: u64) -> StoreCall<'_, Changes> {
        let call = self.store.changes(table.clone(), after, wait_ms);
        self.counted(table, "changes", call)
    }

    fn put(&self, put: RowPut) -> StoreCall<'_, u64> {
        let table = put.name.table.clone();
        self.counted(table, "put", self.store.put(put))
    }
}
