//! Compares what callers heard with what backend servers ran.

use serde::Deserialize;
use serde::Serialize;

use crate::backend::RunRecord;
use crate::core::FastMap;
use crate::core::FastSet;
use crate::load::AttemptEnd;
use crate::load::AttemptRecord;
use crate::load::CallRecord;
use crate::load::Told;
use crate::load::class_figures::share;

/// How many examples of each fault the report names.
const EXAMPLES: usize = 5;

/// What must always hold, counted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Audit {
    /// Runs at all backend servers.
    pub runs: u64,
    /// Keys that ran more than once; keys of calls further down are derived and differ.
    pub duplicates: u64,
    /// Requests whose caller was told that they ran, and that no backend server ran.
    pub losses: u64,
    /// Requests of which every answer said `not_run`, and that a backend server ran.
    pub false_not_run: u64,
    /// Answers that were cut short or meant for another request.
    pub wrong_answers: u64,
    /// Runs for requests that did not complete.
    pub wasted_runs: u64,
    pub wasted_share: f64,
    /// The same by the time that runs took.
    pub wasted_time_share: f64,
    /// Keys and request identifiers of the first few faults, to look for in the logs.
    pub examples: Vec<String>,
}

/// The runs by what joins them to callers' records.
struct RunIndex<'a> {
    by_key: FastMap<&'a str, Vec<&'a RunRecord>>,
    by_request: FastSet<&'a str>,
}

impl Audit {
    /// Joins records and runs on key and request identifier.
    pub fn of(records: &[CallRecord], runs: &[RunRecord]) -> Self {
        let index = RunIndex::of(runs);
        let mut audit = Self {
            runs: runs.len() as u64,
            ..Self::default()
        };
        audit.count_duplicates(&index);
        for record in records {
            audit.check_record(record, &index);
        }
        audit.count_wasted(records, runs);
        audit
    }

    fn count_duplicates(&mut self, index: &RunIndex<'_>) {
        for (key, runs) in &index.by_key {
            if runs.len() > 1 {
                self.duplicates += 1;
                self.note(format!("duplicate key={key} runs={}", runs.len()));
            }
        }
    }

    fn check_record(&mut self, record: &CallRecord, index: &RunIndex<'_>) {
        let wrong = |attempt: &&AttemptRecord| attempt.end == AttemptEnd::Wrong;
        self.wrong_answers += record.attempts.iter().filter(wrong).count() as u64;
        let ran = index.ran(record);
        let told_ran = record
            .attempts
            .iter()
            .any(|attempt| attempt.told == Told::Ran || attempt.end == AttemptEnd::Good);
        let only_not_run = record
            .attempts
            .iter()
            .all(|attempt| attempt.told == Told::NotRun);
        if told_ran && !ran && is_joinable(record) {
            self.losses += 1;
            self.note(format!("loss {}", name_of(record)));
        }
        if only_not_run && ran {
            self.false_not_run += 1;
            self.note(format!("false not_run {}", name_of(record)));
        }
    }

    fn count_wasted(&mut self, records: &[CallRecord], runs: &[RunRecord]) {
        let good = records.iter().filter(|record| record.is_good());
        let mut completed: FastSet<&str> = FastSet::default();
        for record in good {
            completed.extend(record.key.as_deref());
            let last = &record.attempts[record.attempts.len() - 1];
            completed.extend(last.request_id.as_deref());
        }
        let is_wasted = |run: &&RunRecord| {
            let by_key = run
                .key
                .as_deref()
                .is_some_and(|key| completed.contains(key));
            !(by_key || completed.contains(&*run.request_id))
        };
        let time_ms = |run: &RunRecord| {
            let ended = run.ended_ms.unwrap_or(run.started_ms);
            ended.since(run.started_ms)
        };
        self.wasted_runs = runs.iter().filter(is_wasted).count() as u64;
        let wasted_ms = runs.iter().filter(is_wasted).map(time_ms).sum();
        self.wasted_time_share = share(wasted_ms, runs.iter().map(time_ms).sum());
        self.wasted_share = share(self.wasted_runs, self.runs);
    }

    fn note(&mut self, example: String) {
        if self.examples.len() < EXAMPLES {
            self.examples.push(example);
        }
    }
}

impl<'a> RunIndex<'a> {
    fn of(runs: &'a [RunRecord]) -> Self {
        let mut by_key: FastMap<&str, Vec<&RunRecord>> = FastMap::default();
        let mut by_request = FastSet::default();
        for run in runs {
            by_request.insert(&*run.request_id);
            if let Some(key) = run.key.as_deref() {
                by_key.entry(key).or_default().push(run);
            }
        }
        Self { by_key, by_request }
    }

    fn ran(&self, record: &CallRecord) -> bool {
        let by_key = record
            .key
            .as_deref()
            .is_some_and(|key| self.by_key.contains_key(key));
        by_key
            || record.attempts.iter().any(|attempt| {
                let id = attempt.request_id.as_deref();
                id.is_some_and(|id| self.by_request.contains(id))
            })
    }
}

/// Without a key or a request identifier nothing can be said about the runs of a request.
fn is_joinable(record: &CallRecord) -> bool {
    let has_id = |attempt: &AttemptRecord| attempt.request_id.is_some();
    record.key.is_some() || record.attempts.iter().any(has_id)
}

fn name_of(record: &CallRecord) -> String {
    let id = record
        .attempts
        .iter()
        .find_map(|attempt| attempt.request_id.as_deref());
    format!(
        "class={} at_ms={} key={} request={}",
        record.class,
        record.at_ms,
        record.key.as_deref().unwrap_or("-"),
        id.unwrap_or("-"),
    )
}
