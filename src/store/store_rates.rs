//! How many writes a store takes, and over how many parts rows are spread for it.

use crate::core::Name;
use crate::core::stable_hash;

/// Parts at most, so that a sample of rows is found in few of them.
const MOST_PARTS: u64 = 64;

/// Writes that a store takes a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRates {
    /// In all parts together.
    pub writes_per_s: u64,
    /// In one part.
    pub part_writes_per_s: u64,
}

impl Default for StoreRates {
    /// A store whose parts are not told of: one part does.
    fn default() -> Self {
        Self {
            writes_per_s: 1,
            part_writes_per_s: 1,
        }
    }
}

impl StoreRates {
    /// Over how many parts rows that all nodes write are spread: no part is then slower than the whole.
    ///
    /// Guards against a fleet that starts and whose first rows, all in one part, are turned away again and
    /// again: each try is paid for.
    pub fn parts(self) -> u64 {
        let parts = self.writes_per_s.div_ceil(self.part_writes_per_s.max(1));
        parts.clamp(1, MOST_PARTS)
    }

    /// The part of these in which a row lies that belongs to `owner`.
    pub fn part_of(self, owner: &str) -> u64 {
        stable_hash(owner.bytes()) % self.parts()
    }
}

/// The name of a part. The first one has none, as the only one of a small store.
pub fn part_name(part: u64) -> Name {
    match part {
        0 => Name::from(""),
        _ => Name::from(part.to_string()),
    }
}
