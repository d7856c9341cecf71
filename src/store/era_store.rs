//! A store wrapper that rejects answers of an earlier era.

use futures::FutureExt;

use crate::core::Name;
use crate::errors::StoreError;
use crate::store::Changes;
use crate::store::EraWatch;
use crate::store::RowName;
use crate::store::RowPut;
use crate::store::RowsRead;
use crate::store::Store;
use crate::store::StoreCall;
use crate::store::StoredRow;

/// Forwards calls to a store, and records and checks the era of each answer.
///
/// Guards against an answer that was given before the store was restored and that arrives after one
/// of the restored store. Its content was undone by the restore, and its version may since have
/// been assigned to another change. The recorded era never decreases, whichever node saw it first,
/// so the late answer is rejected.
pub struct EraStore<S> {
    store: S,
    eras: EraWatch,
}

impl<S: Store> EraStore<S> {
    /// Wraps `store` and records eras in `eras`.
    pub fn new(store: S, eras: EraWatch) -> Self {
        Self { store, eras }
    }

    fn checked<'a, T: Send + 'a>(&'a self, call: StoreCall<'a, T>) -> StoreCall<'a, T> {
        let checked = async move {
            let answered = call.await?;
            match self.eras.observe(answered.era) {
                true => Ok(answered),
                false => Err(StoreError::EarlierEra {
                    era: answered.era,
                    newest: self.eras.newest().unwrap_or_default(),
                }),
            }
        };
        checked.boxed()
    }
}

impl<S: Store> Store for EraStore<S> {
    fn read_part(&self, table: Name, part: Name) -> StoreCall<'_, RowsRead> {
        self.checked(self.store.read_part(table, part))
    }

    fn read_row(&self, name: RowName) -> StoreCall<'_, Option<StoredRow>> {
        self.checked(self.store.read_row(name))
    }

    fn read_some(
        &self,
        table: Name,
        part: Name,
        from: Name,
        max_rows: usize,
    ) -> StoreCall<'_, Vec<StoredRow>> {
        self.checked(self.store.read_some(table, part, from, max_rows))
    }

    fn changes(&self, table: Name, after: u64, wait_ms: u64) -> StoreCall<'_, Changes> {
        self.checked(self.store.changes(table, after, wait_ms))
    }

    fn put(&self, put: RowPut) -> StoreCall<'_, u64> {
        self.checked(self.store.put(put))
    }
}
