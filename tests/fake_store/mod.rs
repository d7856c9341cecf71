//! An in-memory store with backup and restore, rejected and delayed writes, and lost answers.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use futures::FutureExt;
use futures::future::ready;

use sassafrasgap::core::Name;
use sassafrasgap::errors::StoreError;
use sassafrasgap::store::Answered;
use sassafrasgap::store::Changes;
use sassafrasgap::store::RowChange;
use sassafrasgap::store::RowName;
use sassafrasgap::store::RowPut;
use sassafrasgap::store::RowsRead;
use sassafrasgap::store::Store;
use sassafrasgap::store::StoreCall;
use sassafrasgap::store::StoredRow;

/// A fault of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutFault {
    /// The write is rejected and not applied.
    Rejected,
    /// The write is applied, and its answer is lost.
    AnswerLost,
    /// The write is not answered. [`FakeStore::apply_delayed`] applies it if its condition holds
    /// then.
    Delayed,
}

#[derive(Clone, Debug, Default)]
struct Rows {
    rows: BTreeMap<RowName, (Vec<u8>, u64)>,
    history: Vec<RowChange>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    current: Rows,
    backup: Rows,
    era: u64,
    put_faults: VecDeque<PutFault>,
    delayed: Vec<RowPut>,
    reads: u64,
    puts: u64,
}

/// Clones share one store.
#[derive(Clone, Debug, Default)]
pub struct FakeStore(Arc<Mutex<State>>);

impl FakeStore {
    /// Queues a fault. Each write takes the oldest queued fault; without one it is applied and
    /// answered.
    pub fn inject_fault(&self, fault: PutFault) {
        self.0.lock().unwrap().put_faults.push_back(fault);
    }

    /// Saves a backup for [`FakeStore::restore`].
    pub fn take_backup(&self) {
        let mut state = self.0.lock().unwrap();
        state.backup = state.current.clone();
    }

    /// Restores the backup: later writes are lost, also acknowledged ones, and their versions are
    /// assigned again.
    pub fn restore(&self) {
        let mut state = self.0.lock().unwrap();
        state.current = state.backup.clone();
        state.era += 1;
    }

    /// Applies the delayed writes.
    pub fn apply_delayed(&self) {
        let mut state = self.0.lock().unwrap();
        let delayed = std::mem::take(&mut state.delayed);
        for put in delayed {
            drop(state.current.put(&put));
        }
    }

    /// Writes a row unconditionally, as another process would.
    pub fn write(&self, name: &RowName, value: &[u8]) {
        let mut state = self.0.lock().unwrap();
        let current_version = state
            .current
            .rows
            .get(name)
            .map_or(0, |(_, version)| *version);
        let put = RowPut {
            name: name.clone(),
            value: value.to_vec(),
            expected_version: current_version,
        };
        state.current.put(&put).unwrap();
    }

    pub fn value(&self, name: &RowName) -> Option<Vec<u8>> {
        let state = self.0.lock().unwrap();
        state.current.rows.get(name).map(|(value, _)| value.clone())
    }

    /// The numbers of reads and writes requested.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.0.lock().unwrap();
        (state.reads, state.puts)
    }

    fn read<T: Send + 'static>(&self, read: impl FnOnce(&State) -> T) -> StoreCall<'static, T> {
        let mut state = self.0.lock().unwrap();
        state.reads += 1;
        let answered = Answered {
            era: state.era,
            value: read(&state),
        };
        ready(Ok(answered)).boxed()
    }
}

impl Rows {
    fn put(&mut self, put: &RowPut) -> Result<u64, StoreError> {
        let current_version = self.rows.get(&put.name).map_or(0, |(_, version)| *version);
        if current_version != put.expected_version {
            return Err(StoreError::Conflict {
                version: current_version,
            });
        }
        self.version += 1;
        let row = (put.value.clone(), self.version);
        self.rows.insert(put.name.clone(), row);
        self.history.push(RowChange {
            name: put.name.clone(),
            value: Some(put.value.clone()),
            version: self.version,
        });
        Ok(self.version)
    }

    fn rows_of(&self, table: &Name, part: &Name) -> Vec<StoredRow> {
        let rows = self.rows.iter();
        let rows = rows.filter(|(name, _)| name.table == *table && name.part == *part);
        let rows = rows.map(|(name, (value, version))| StoredRow {
            name: name.clone(),
            value: value.clone(),
            version: *version,
        });
        rows.collect()
    }
}

impl Store for FakeStore {
    fn read_part(&self, table: Name, part: Name) -> StoreCall<'_, RowsRead> {
        self.read(|state| RowsRead {
            rows: state.current.rows_of(&table, &part),
            version: state.current.version,
        })
    }

    fn read_row(&self, name: RowName) -> StoreCall<'_, Option<StoredRow>> {
        self.read(|state| {
            let rows = state.current.rows_of(&name.table, &name.part);
            rows.into_iter().find(|row| row.name == name)
        })
    }

    fn read_some(
        &self,
        table: Name,
        part: Name,
        from: Name,
        max_rows: usize,
    ) -> StoreCall<'_, Vec<StoredRow>> {
        self.read(|state| {
            let rows = state.current.rows_of(&table, &part).into_iter();
            rows.filter(|row| row.name.key >= from)
                .take(max_rows)
                .collect()
        })
    }

    fn changes(&self, table: Name, after: u64, _wait_ms: u64) -> StoreCall<'_, Changes> {
        let state = self.0.lock().unwrap();
        if after > state.current.version {
            return ready(Err(StoreError::HistoryGone)).boxed();
        }
        drop(state);
        self.read(|state| {
            let rows = state.current.history.iter();
            let rows = rows.filter(|row| row.name.table == table && row.version > after);
            Changes {
                rows: rows.cloned().collect(),
                version: state.current.version,
            }
        })
    }

    fn put(&self, put: RowPut) -> StoreCall<'_, u64> {
        let mut state = self.0.lock().unwrap();
        state.puts += 1;
        let fault = state.put_faults.pop_front();
        let no_answer = || Err(StoreError::NoAnswer("lost".to_owned()));
        let result = match fault {
            Some(PutFault::Rejected) => Err(StoreError::TooManyCalls),
            Some(PutFault::Delayed) => {
                state.delayed.push(put);
                no_answer()
            }
            Some(PutFault::AnswerLost) => {
                drop(state.current.put(&put));
                no_answer()
            }
            None => state.current.put(&put).map(|version| Answered {
                era: state.era,
                value: version,
            }),
        };
        ready(result).boxed()
    }
}
