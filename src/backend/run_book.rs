//! The book of runs, from which the load tool counts duplicates, losses and wasted work.

use std::collections::VecDeque;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::backend::RunCounters;
use crate::backend::RunEvent;
use crate::backend::RunList;
use crate::backend::RunRecord;
use crate::core::Clock;
use crate::errors::BackendError;

/// Records kept in memory; the oldest are dropped beyond it.
const RECORDS_KEPT: usize = 200_000;

/// The records and counters of one process.
pub struct RunBook {
    clock: Clock,
    pages: Mutex<Pages>,
}

#[derive(Default)]
struct Pages {
    counters: RunCounters,
    dropped: u64,
    runs: VecDeque<RunRecord>,
    log: Option<File>,
}

/// A run under way. It ends as cancelled unless it is completed before it is dropped.
pub struct RunGuard {
    book: Arc<RunBook>,
    run: u64,
    completed: bool,
}

/// What identifies a call in the book.
#[derive(Clone, Debug)]
pub struct RunSubject {
    pub request_id: String,
    pub key: Option<String>,
    pub method: String,
    pub path: String,
}

impl RunBook {
    /// An empty book, with a log file if `log` names one.
    ///
    /// # Errors
    /// When the log file cannot be opened for appending.
    pub fn new(clock: Clock, log: Option<&Path>) -> Result<Self, BackendError> {
        let pages = Pages {
            log: log.map(open_log).transpose()?,
            ..Pages::default()
        };
        Ok(Self {
            clock,
            pages: Mutex::new(pages),
        })
    }

    /// Notes the start of a run, in the log before it returns.
    pub fn start(self: &Arc<Self>, subject: &RunSubject) -> RunGuard {
        let mut pages = self.pages();
        pages.counters.started += 1;
        let record = RunRecord {
            run: pages.counters.started,
            request_id: subject.request_id.clone(),
            key: subject.key.clone(),
            method: subject.method.clone(),
            path: subject.path.clone(),
            started_ms: self.clock.now(),
            ended_ms: None,
            completed: false,
            cancelled: false,
        };
        let run = record.run;
        pages.append(&RunEvent::Start(record.clone()));
        pages.keep(record);
        RunGuard {
            book: self.clone(),
            run,
            completed: false,
        }
    }

    /// Changes the counters.
    pub fn count(&self, change: impl FnOnce(&mut RunCounters)) {
        change(&mut self.pages().counters);
    }

    /// Everything in the book.
    pub fn list(&self, service: &str, instance: &str) -> RunList {
        let pages = self.pages();
        RunList {
            service: service.to_string(),
            instance: instance.to_string(),
            counters: pages.counters.clone(),
            dropped: pages.dropped,
            runs: pages.runs.iter().cloned().collect(),
        }
    }

    fn end(&self, run: u64, completed: bool) {
        let now = self.clock.now();
        let mut pages = self.pages();
        if completed {
            pages.counters.completed += 1;
        } else {
            pages.counters.cancelled += 1;
        }
        let dropped = pages.dropped;
        let Some(index) = run.checked_sub(dropped + 1) else {
            return;
        };
        let Some(record) = pages.runs.get_mut(index as usize) else {
            return;
        };
        record.ended_ms = Some(now);
        record.completed = completed;
        record.cancelled = !completed;
        let event = RunEvent::End(record.clone());
        pages.append(&event);
    }

    fn pages(&self) -> MutexGuard<'_, Pages> {
        self.pages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pages {
    fn keep(&mut self, record: RunRecord) {
        if self.runs.len() == RECORDS_KEPT {
            self.runs.pop_front();
            self.dropped += 1;
        }
        self.runs.push_back(record);
    }

    fn append(&mut self, event: &RunEvent) {
        let Some(log) = &mut self.log else {
            return;
        };
        let mut line = serde_json::to_vec(event).expect("plain structs always encode");
        line.push(b'\n');
        if let Err(error) = log.write_all(&line) {
            log::error!("backend: the run log cannot be written error={error}");
        }
    }
}

impl RunGuard {
    /// The number of the run.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Ends the run as completed.
    pub fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.book.end(self.run, self.completed);
    }
}

fn open_log(path: &Path) -> Result<File, BackendError> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .map_err(|source| BackendError::OpenRunLog {
            path: path.to_path_buf(),
            source,
        })
}
