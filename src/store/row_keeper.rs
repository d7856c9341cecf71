//! A row that one process keeps up to date.

use std::sync::Arc;

use crate::errors::StoreError;
use crate::store::RowName;
use crate::store::RowPut;
use crate::store::Store;
use crate::store::StoredRow;

/// What became of one try to write the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeptRow {
    /// The row holds the value.
    Written,
    /// It is not known to: try again after a pause.
    Again(StoreError),
}

/// Writes one row, always on the condition of its version.
///
/// Guards against a write whose answer was lost and that the store performs seconds later: without
/// a condition it would put an old value over a newer one. It holds because after a lost answer the
/// row is read back, and the next write names the version that was read: the late one then fails.
pub struct RowKeeper {
    store: Arc<dyn Store>,
    name: RowName,
    /// The version at which the row is, as far as is known.
    version: Option<u64>,
}

impl RowKeeper {
    /// Keeps a row of which nothing is known yet.
    pub fn new(store: Arc<dyn Store>, name: RowName) -> Self {
        Self {
            store,
            name,
            version: None,
        }
    }

    /// Takes the row to be absent. The next write says whether it is, and is made once more if not.
    pub fn take_as_absent(&mut self) {
        self.version = Some(0);
    }

    /// Makes one try to have the row hold `value`. Sends nothing when it does already.
    pub async fn write(&mut self, value: &[u8]) -> KeptRow {
        let version = match self.version {
            Some(version) => version,
            None => match self.read_back(value).await {
                Ok(None) => return KeptRow::Written,
                Ok(Some(version)) => version,
                Err(error) => return KeptRow::Again(error),
            },
        };
        let put = RowPut {
            name: self.name.clone(),
            value: value.to_vec(),
            expected_version: version,
        };
        match self.store.put(put).await {
            Ok(version) => {
                self.version = Some(version);
                KeptRow::Written
            }
            Err(error) => {
                if may_have_changed(&error) {
                    self.version = None;
                }
                KeptRow::Again(error)
            }
        }
    }

    /// The row as the store holds it, if there is one.
    ///
    /// # Errors
    /// When the store does not say.
    pub async fn read(&mut self) -> Result<Option<StoredRow>, StoreError> {
        let row = self.store.read_row(self.name.clone()).await?;
        self.version = Some(row.as_ref().map_or(0, |row| row.version));
        Ok(row)
    }

    /// `None` when the row holds the value already, else the version on which to build.
    async fn read_back(&mut self, value: &[u8]) -> Result<Option<u64>, StoreError> {
        let row = self.read().await?;
        let holds_it = row.as_ref().is_some_and(|row| row.value == value);
        Ok((!holds_it).then_some(self.version.unwrap_or(0)))
    }
}

/// Whether the row may be at another version than the one that was written on.
///
/// Guards against two calls for each try while the store turns calls away: it shows as most of a large
/// fleet's calls at its start. What was not done leaves the version as it was.
fn may_have_changed(error: &StoreError) -> bool {
    matches!(error, StoreError::Conflict { .. }) || !error.is_not_done()
}
