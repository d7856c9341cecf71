//! The callers' side: keys, their requests, and the outcomes.

use sassafrasgap::core::FastMap;
use sassafrasgap::core::Name;
use sassafrasgap::core::Refusal;
use sassafrasgap::core::RunState;

/// One request with a key on its way through an entry.
#[derive(Clone)]
pub struct KeyedRequest {
    pub key: Name,
    /// When the entry read the request. The entry sends attempts only for a limited time after it.
    pub arrived_at: u64,
    pub attempts: u32,
    /// The process that receives the next attempt, and the latest stamp from that process.
    pub next: Option<(usize, u64)>,
}

/// What happened to each key. Every answer to a caller is checked against it.
#[derive(Default)]
pub struct GroundTruth {
    runs: FastMap<Name, u32>,
    pub ran: u64,
    pub not_run: u64,
    pub unknown: u64,
    /// Keys whose caller got an answer, and when it did first.
    pub completed: FastMap<Name, u64>,
    /// Keys, and when each was first sent.
    pub sent: FastMap<Name, u64>,
    pub refusals: FastMap<&'static str, u64>,
}

impl GroundTruth {
    /// Records that a backend server starts the call of a key.
    pub fn record_run(&mut self, key: &Name) {
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        assert!(*runs == 1, "the key {key} ran twice");
    }

    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Records that a caller gets the answer of its key.
    pub fn report_ran(&mut self, key: &Name, now: u64) {
        assert!(
            self.runs.contains_key(key),
            "a guard reported that {key} ran, but it did not"
        );
        self.ran += 1;
        self.completed.entry(key.clone()).or_insert(now);
    }

    /// Records that a caller gets a refusal.
    pub fn report_refused(&mut self, key: &Name, refusal: Refusal) {
        *self.refusals.entry(refusal.reason.as_str()).or_default() += 1;
        match refusal.run_state {
            RunState::NotRun => {
                let ran = self.runs.contains_key(key);
                assert!(!ran, "a guard reported that {key} did not run, but it did");
                self.not_run += 1;
            }
            RunState::Ran => assert!(
                self.runs.contains_key(key),
                "a refusal stated that {key} ran, but it did not"
            ),
            RunState::Unknown => self.unknown += 1,
        }
    }

    /// The percentage of the keys first sent within a span that have completed.
    pub fn completed_percent(&self, from: u64, to: u64) -> u64 {
        let in_span = |at: &u64| (from..to).contains(at);
        let sent = self.sent.iter().filter(|(_, at)| in_span(at));
        let done = |key: &&Name| self.completed.contains_key(*key);
        let keys: Vec<&Name> = sent.map(|(key, _)| key).collect();
        let completed = keys.iter().filter(|key| done(key)).count();
        (completed * 100 / keys.len().max(1)) as u64
    }
}
