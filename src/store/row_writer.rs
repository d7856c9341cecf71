//! A row that one process keeps up to date.

use std::sync::Arc;

use crate::errors::StoreError;
use crate::store::RowName;
use crate::store::RowPut;
use crate::store::Store;
use crate::store::StoredRow;

/// What became of one try to write the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row holds the value.
    Written,
    /// It is not known to: try again after a pause.
    Retry(StoreError),
}

/// At which version the row was, and in which era of the store if that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    era: Option<u64>,
    version: u64,
}

/// Writes one row, always on the condition of its version.
///
/// Guards against a write whose answer was lost and that the store performs seconds later: without
/// a condition it would put an old value over a newer one. It holds because after a lost answer the
/// row is read back, and the next write names the version that was read: the late one then fails.
///
/// Guards against a store that was restored from an older copy, and gives versions out again: a write on a
/// version of before counts only if the answer is of the era in which that was read.
pub struct RowWriter {
    store: Arc<dyn Store>,
    name: RowName,
    /// `None` while nothing is known of the row.
    held: Option<Held>,
}

impl RowWriter {
    /// Keeps a row of which nothing is known yet.
    pub fn new(store: Arc<dyn Store>, name: RowName) -> Self {
        Self {
            store,
            name,
            held: None,
        }
    }

    /// Takes the row to be absent. The next write says whether it is, and is made once more if not.
    pub fn assume_absent(&mut self) {
        self.held = Some(Held {
            era: None,
            version: 0,
        });
    }

    /// Forgets what is known of the row: the next write reads it back first.
    pub fn forget(&mut self) {
        self.held = None;
    }

    /// Makes one try to have the row hold `value`. Sends nothing when it does already.
    pub async fn write(&mut self, value: &[u8]) -> WriteOutcome {
        let held = match self.held {
            Some(held) => held,
            None => match self.read_back(value).await {
                Ok(None) => return WriteOutcome::Written,
                Ok(Some(held)) => held,
                Err(error) => return WriteOutcome::Retry(error),
            },
        };
        let put = RowPut {
            name: self.name.clone(),
            value: value.to_vec(),
            expected_version: held.version,
        };
        match self.store.put(put).await {
            Ok(answered) if held.era.is_some_and(|era| era != answered.era) => {
                self.held = None;
                WriteOutcome::Retry(StoreError::EarlierEra {
                    era: held.era.unwrap_or_default(),
                    newest: answered.era,
                })
            }
            Ok(answered) => {
                self.held = Some(Held {
                    era: Some(answered.era),
                    version: answered.value,
                });
                WriteOutcome::Written
            }
            Err(error) => {
                if may_have_changed(&error) {
                    self.held = None;
                }
                WriteOutcome::Retry(error)
            }
        }
    }

    /// The row as the store holds it, if there is one.
    ///
    /// # Errors
    /// When the store does not say.
    pub async fn read(&mut self) -> Result<Option<StoredRow>, StoreError> {
        Ok(self.read_held().await?.0)
    }

    async fn read_held(&mut self) -> Result<(Option<StoredRow>, Held), StoreError> {
        let answered = self.store.read_row(self.name.clone()).await?;
        let row = answered.value;
        let held = Held {
            era: Some(answered.era),
            version: row.as_ref().map_or(0, |row| row.version),
        };
        self.held = Some(held);
        Ok((row, held))
    }

    /// `None` when the row holds the value already, else the version on which to build.
    async fn read_back(&mut self, value: &[u8]) -> Result<Option<Held>, StoreError> {
        let (row, held) = self.read_held().await?;
        let holds_it = row.is_some_and(|row| row.value == value);
        Ok((!holds_it).then_some(held))
    }
}

/// Whether the row may be at another version than the one that was written on.
///
/// Guards against two calls for each try while the store turns calls away: it shows as most of a large
/// fleet's calls at its start. What was not done leaves the version as it was.
fn may_have_changed(error: &StoreError) -> bool {
    matches!(error, StoreError::Conflict { .. }) || !error.is_not_done()
}
