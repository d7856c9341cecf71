//! What a store offers.

use futures::future::BoxFuture;

use crate::core::Name;
use crate::errors::StoreError;
use crate::store::Answered;
use crate::store::Changes;
use crate::store::RowName;
use crate::store::RowPut;
use crate::store::RowsRead;
use crate::store::StoredRow;

/// What a call to a store comes to.
pub type StoreCall<'a, T> = BoxFuture<'a, Result<Answered<T>, StoreError>>;

/// A store of rows. Every call ends within a bounded time, and is sent once: callers decide about
/// another try.
pub trait Store: Send + Sync {
    /// All rows of one part of a table as of one moment, and the store's version at that moment.
    fn read_part(&self, table: Name, part: Name) -> StoreCall<'_, RowsRead>;

    /// One row, if there is one.
    fn read_row(&self, name: RowName) -> StoreCall<'_, Option<StoredRow>>;

    /// At most `most` rows of a part, in the order of their keys, beginning at the key `from`.
    fn read_some(
        &self,
        table: Name,
        part: Name,
        from: Name,
        most: usize,
    ) -> StoreCall<'_, Vec<StoredRow>>;

    /// The changes of a table after a version, as soon as there are any; none after `wait_ms`.
    fn changes(&self, table: Name, after: u64, wait_ms: u64) -> StoreCall<'_, Changes>;

    /// Writes a row if it is still at the expected version. Answers its new version.
    fn put(&self, put: RowPut) -> StoreCall<'_, u64>;
}
