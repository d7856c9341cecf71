//! The counters of the stand-in platform, served at `GET /stats`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// How many prefixes have counters of their own; all others are counted under [`OTHER`].
const MAX_PREFIXES: usize = 64;
const OTHER: &str = "other";

/// The counters of one key prefix, or of all requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counters {
    /// Reads by cost: a get costs 1, a scan 1 for every 16 rows or part of 16 rows.
    pub reads: u64,
    /// Writes by cost: 1 for every row put or deleted.
    pub writes: u64,
    /// Transactions that failed a version check.
    pub conflicts: u64,
    /// Requests refused with status 429.
    pub refused: u64,
    /// Requests affected by a scripted fault other than a delay.
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
    /// Counters by the part of the key before its first `/`.
    pub prefixes: BTreeMap<String, Counters>,
}

impl Stats {
    /// Applies `change` to the totals and to the counters of the key's prefix.
    pub fn count(&mut self, key: &str, change: impl Fn(&mut Counters)) {
        change(&mut self.total);
        change(self.of_prefix(key));
    }

    fn of_prefix(&mut self, key: &str) -> &mut Counters {
        let prefix = key.split('/').next().unwrap_or(OTHER);
        let is_known = self.prefixes.contains_key(prefix);
        let has_room = self.prefixes.len() < MAX_PREFIXES;
        let prefix = if is_known || has_room { prefix } else { OTHER };
        self.prefixes.entry(prefix.to_owned()).or_default()
    }
}
