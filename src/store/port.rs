//! The interface of a store.

use futures::future::BoxFuture;

use crate::core::Name;
use crate::errors::StoreError;
use crate::store::Answered;
use crate::store::Changes;
use crate::store::RowName;
use crate::store::RowPut;
use crate::store::RowsRead;
use crate::store::StoredRow;

/// The pending result of a call to a store.
pub type StoreCall<'a, T> = BoxFuture<'a, Result<Answered<T>, StoreError>>;

/// A store of rows.
///
/// Every call ends within a bounded time and is sent once. The calling code decides on retries.
pub trait Store: Send + Sync {
    /// Reads a consistent snapshot of one part of a table, with the version of the store at that
    /// moment.
    fn read_part(&self, table: Name, part: Name) -> StoreCall<'_, RowsRead>;

    /// Reads one row, if it exists.
    fn read_row(&self, name: RowName) -> StoreCall<'_, Option<StoredRow>>;

    /// Reads at most `max_rows` rows of a part in key order, starting at the key `from`.
    fn read_some(
        &self,
        table: Name,
        part: Name,
        from: Name,
        max_rows: usize,
    ) -> StoreCall<'_, Vec<StoredRow>>;

    /// Waits for changes of a table after the version `after`. If there are none within `wait_ms`,
    /// the returned list is empty.
    fn changes(&self, table: Name, after: u64, wait_ms: u64) -> StoreCall<'_, Changes>;

    /// Writes a row if it is still at the expected version, and returns its new version.
    fn put(&self, put: RowPut) -> StoreCall<'_, u64>;
}
