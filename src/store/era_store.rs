//! A store of whose answers those of an earlier era count for nothing.

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

/// Passes calls on and notes the era of each answer.
///
/// Guards against an answer that was given before the store was restored and arrives after a later one:
/// what it says was undone, and its version may mean something else by now. It holds because the era that
/// was seen never goes back, whoever saw it first.
pub struct EraStore<S> {
    store: S,
    eras: EraWatch,
}

impl<S: Store> EraStore<S> {
    /// Notes eras in `eras`.
    pub fn new(store: S, eras: EraWatch) -> Self {
        Self { store, eras }
    }

    fn noted<'a, T: Send + 'a>(&'a self, call: StoreCall<'a, T>) -> StoreCall<'a, T> {
        let noted = async move {
            let answered = call.await?;
            match self.eras.observe(answered.era) {
                true => Ok(answered),
                false => Err(StoreError::EarlierEra {
                    era: answered.era,
                    newest: self.eras.newest().unwrap_or_default(),
                }),
            }
        };
        noted.boxed()
    }
}

impl<S: Store> Store for EraStore<S> {
    fn read_part(&self, table: Name, part: Name) -> StoreCall<'_, RowsRead> {
        self.noted(self.store.read_part(table, part))
    }

    fn read_row(&self, name: RowName) -> StoreCall<'_, Option<StoredRow>> {
        self.noted(self.store.read_row(name))
    }

    fn read_some(
        &self,
        table: Name,
        part: Name,
        from: Name,
        most: usize,
    ) -> StoreCall<'_, Vec<StoredRow>> {
        self.noted(self.store.read_some(table, part, from, most))
    }

    fn changes(&self, table: Name, after: u64, wait_ms: u64) -> StoreCall<'_, Changes> {
        self.noted(self.store.changes(table, after, wait_ms))
    }

    fn put(&self, put: RowPut) -> StoreCall<'_, u64> {
        self.noted(self.store.put(put))
    }
}
