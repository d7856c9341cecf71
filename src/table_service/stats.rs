//! What the platform counts, as `GET /stats` shows it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// How many prefixes are told apart; the rest is counted under [`OTHER`].
const MAX_PREFIXES: usize = 64;
const OTHER: &str = "other";

/// The counters of one prefix, or of all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counters {
    /// Reads by cost: a get is one, a scan one for every 16 rows begun.
    pub reads: u64,
    /// Writes by cost: one for every row put or deleted.
    pub writes: u64,
    /// Transactions that found a row otherwise than checked.
    pub conflicts: u64,
    /// Requests refused with a 429.
    pub refused: u64,
    /// Requests that met a scripted fault other than mere slowness.
    pub faulted: u64,
    /// Bytes of values written.
    pub bytes_in: u64,
    /// Bytes of values read.
    pub bytes_out: u64,
}

/// All counters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stats {
    pub total: Counters,
    /// By the part of the key before its first `/`.
    pub prefixes: BTreeMap<String, Counters>,
}

impl Stats {
    /// Counts in the sum and in the key's prefix.
    pub fn count(&mut self, key: &str, change: impl Fn(&mut Counters)) {
        change(&mut self.total);
        change(self.of_prefix(key));
    }

    fn of_prefix(&mut self, key: &str) -> &mut Counters {
        let prefix = key.split('/').next().unwrap_or(OTHER);
        let known = self.prefixes.contains_key(prefix);
        let room = self.prefixes.len() < MAX_PREFIXES;
        let prefix = if known || room { prefix } else { OTHER };
        self.prefixes.entry(prefix.to_owned()).or_default()
    }
}
