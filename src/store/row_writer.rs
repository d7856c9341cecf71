//! Writes to a row that is owned by one process.

use std::sync::Arc;

use crate::errors::StoreError;
use crate::store::RowName;
use crate::store::RowPut;
use crate::store::Store;
use crate::store::StoredRow;

/// The outcome of one attempt to write the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row holds the value.
    Written,
    /// The row is not known to hold the value: retry after a pause.
    Retry(StoreError),
}

/// The last known version of the row, and the era of the store in which it was read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownRow {
    /// `None` if the row was only assumed absent: a write on it is then accepted in any era.
    era: Option<u64>,
    version: u64,
}

/// Writes one row, always conditional on its version.
///
/// Guards against a write whose answer was lost and that the store applies seconds later. Without a
/// condition it would overwrite a newer value. After a lost answer the row is therefore read back,
/// and the next write is conditional on the version that was read, so that the late write fails.
///
/// Guards against a store that was restored from an older backup and assigns the same versions
/// again. A write is accepted only if its answer is of the era in which the expected version was
/// read or written.
pub struct RowWriter {
    store: Arc<dyn Store>,
    name: RowName,
    /// `None` while the version of the row is unknown.
    known: Option<KnownRow>,
}

impl RowWriter {
    /// A writer for a row whose version is unknown.
    pub fn new(store: Arc<dyn Store>, name: RowName) -> Self {
        Self {
            store,
            name,
            known: None,
        }
    }

    /// Assumes that the row does not exist, which saves a read. If it does, the next write fails
    /// with a conflict, and has to be retried.
    pub fn assume_absent(&mut self) {
        self.known = Some(KnownRow {
            era: None,
            version: 0,
        });
    }

    /// Discards the known version: the next write reads the row back first.
    pub fn forget(&mut self) {
        self.known = None;
    }

    /// Makes one attempt to set the row to `value`. If the version is unknown, the row is read
    /// first, and not written when it already holds the value.
    pub async fn write(&mut self, value: &[u8]) -> WriteOutcome {
        let known = match self.known {
            Some(known) => known,
            None => match self.read_back(value).await {
                Ok(None) => return WriteOutcome::Written,
                Ok(Some(known)) => known,
                Err(error) => return WriteOutcome::Retry(error),
            },
        };
        let put = RowPut {
            name: self.name.clone(),
            value: value.to_vec(),
            expected_version: known.version,
        };
        match self.store.put(put).await {
            Ok(answered) if known.era.is_some_and(|era| era != answered.era) => {
                self.known = None;
                WriteOutcome::Retry(StoreError::EarlierEra {
                    era: known.era.unwrap_or_default(),
                    newest: answered.era,
                })
            }
            Ok(answered) => {
                self.known = Some(KnownRow {
                    era: Some(answered.era),
                    version: answered.value,
                });
                WriteOutcome::Written
            }
            Err(error) => {
                if may_have_changed(&error) {
                    self.known = None;
                }
                WriteOutcome::Retry(error)
            }
        }
    }

    /// Reads the row from the store, if it exists.
    ///
    /// # Errors
    /// When the read fails.
    pub async fn read(&mut self) -> Result<Option<StoredRow>, StoreError> {
        Ok(self.read_known().await?.0)
    }

    async fn read_known(&mut self) -> Result<(Option<StoredRow>, KnownRow), StoreError> {
        let answered = self.store.read_row(self.name.clone()).await?;
        let row = answered.value;
        let known = KnownRow {
            era: Some(answered.era),
            version: row.as_ref().map_or(0, |row| row.version),
        };
        self.known = Some(known);
        Ok((row, known))
    }

    /// Returns `None` when the row already holds the value, else the version for the next write.
    async fn read_back(&mut self, value: &[u8]) -> Result<Option<KnownRow>, StoreError> {
        let (row, known) = self.read_known().await?;
        let is_current = row.is_some_and(|row| row.value == value);
        Ok((!is_current).then_some(known))
    }
}

/// Whether the row may no longer be at the version that the failed write was conditional on.
///
/// Guards against a read in addition to each write attempt while the store rejects calls. These
/// reads would be most of the calls of a large fleet when it starts. A write that was certainly not
/// applied leaves the version unchanged, so no read is needed.
fn may_have_changed(error: &StoreError) -> bool {
    matches!(error, StoreError::Conflict { .. }) || !error.is_not_done()
}
