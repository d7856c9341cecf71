//! A store whose calls are counted by purpose.

use std::sync::Arc;

use futures::future::BoxFuture;
use prometheus::IntCounterVec;

use crate::core::Name;
use crate::errors::StoreError;
use crate::store::Changes;
use crate::store::RowName;
use crate::store::RowPut;
use crate::store::Store;
use crate::store::StoredRow;

/// Passes calls on and counts them, by table and kind of call: together these say what for. Every call to
/// a store is paid for, also one that fails, so each counts when it is made.
pub struct CountedStore {
    store: Arc<dyn Store>,
    calls: IntCounterVec,
}

impl CountedStore {
    /// Counts in `calls`, whose labels are the table and the kind of call.
    pub fn new(store: Arc<dyn Store>, calls: IntCounterVec) -> Self {
        Self { store, calls }
    }

    fn count(&self, table: &str, call: &str) {
        self.calls.with_label_values(&[table, call]).inc();
    }
}

impl Store for CountedStore {
    fn read_part(
        &self,
        table: Name,
        part: Name,
    ) -> BoxFuture<'_, Result<(Vec<StoredRow>, u64), StoreError>> {
        self.count(&table, "read_part");
        self.store.read_part(table, part)
    }

    fn read_row(&self, name: RowName) -> BoxFuture<'_, Result<Option<StoredRow>, StoreError>> {
        self.count(&name.table, "read_row");
        self.store.read_row(name)
    }

    fn read_some(
        &self,
        table: Name,
        part: Name,
        from: Name,
        most: usize,
    ) -> BoxFuture<'_, Result<Vec<StoredRow>, StoreError>> {
        self.count(&table, "read_some");
        self.store.read_some(table, part, from, most)
    }

    fn changes(
        &self,
        table: Name,
        after: u64,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<Changes, StoreError>> {
        self.count(&table, "changes");
        self.store.changes(table, after, wait_ms)
    }

    fn put(&self, put: RowPut) -> BoxFuture<'_, Result<u64, StoreError>> {
        self.count(&put.name.table, "put");
        self.store.put(put)
    }
}
