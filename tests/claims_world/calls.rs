//! The callers' side: keys, their sendings, and what became of them.

use sassafrasgap::core::FastMap;
use sassafrasgap::core::Name;
use sassafrasgap::core::Refusal;
use sassafrasgap::core::RunState;

/// One sending of a key on its way through an entry.
#[derive(Clone)]
pub struct Sending {
    pub key: Name,
    /// When the entry read it; the entry sends no attempt long after.
    pub arrived_at: u64,
    pub attempts: u32,
    /// The process it goes to next and the stamp heard from it.
    pub next: Option<(usize, u64)>,
}

#[derive(Default)]
pub struct Truth {
    runs: FastMap<Name, u32>,
    pub ran: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub completed: FastMap<Name, u64>,
    pub sent: FastMap<Name, u64>,
    pub refusals: FastMap<&'static str, u64>,
}

impl Truth {
    /// A backend server starts the call of a key.
    pub fn run(&mut self, key: &Name) {
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        assert!(*runs == 1, "the key {key} ran twice");
    }

    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// A caller is told that its key ran.
    pub fn told_ran(&mut self, key: &Name, now: u64) {
        assert!(self.runs.contains_key(key), "{key} ran, said a guard");
        self.ran += 1;
        self.completed.entry(key.clone()).or_insert(now);
    }

    /// A caller is told of a refusal.
    pub fn told_refused(&mut self, key: &Name, refusal: Refusal) {
        *self.refusals.entry(refusal.reason.as_str()).or_default() += 1;
        match refusal.run_state {
            RunState::NotRun => {
                let ran = self.runs.contains_key(key);
                assert!(!ran, "{key} ran and was said not to have run");
                self.not_run += 1;
            }
            RunState::Ran => assert!(self.runs.contains_key(key), "{key} did not run"),
            RunState::Unknown => self.unknown += 1,
        }
    }

    /// The share of the keys first sent in a span that completed at all, in percent.
    pub fn completed_percent(&self, from: u64, to: u64) -> u64 {
        let in_span = |at: &u64| (from..to).contains(at);
        let sent = self.sent.iter().filter(|(_, at)| in_span(at));
        let done = |key: &&Name| self.completed.contains_key(*key);
        let keys: Vec<&Name> = sent.map(|(key, _)| key).collect();
        let completed = keys.iter().filter(|key| done(key)).count();
        (completed * 100 / keys.len().max(1)) as u64
    }
}
