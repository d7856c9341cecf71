//! The write rates of a store, and the number of parts over which rows are spread to use them.

use crate::core::Name;
use crate::core::stable_hash;

/// The largest number of parts. A starting node finds other nodes by a sample of rows from few
/// parts: with more parts, each would hold too few rows.
const MAX_PARTS: u64 = 64;

/// The writes per second that a store accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRates {
    /// In all parts together.
    pub writes_per_s: u64,
    /// In one part.
    pub part_writes_per_s: u64,
}

impl Default for StoreRates {
    /// The default for a store without known limits: a single part.
    fn default() -> Self {
        Self {
            writes_per_s: 1,
            part_writes_per_s: 1,
        }
    }
}

impl StoreRates {
    /// The number of parts over which the rows of all nodes are spread, so that no single part
    /// limits the write rate.
    ///
    /// Guards against repeated rejections when a fleet starts and all its first rows go to one
    /// part. Each attempt is billed.
    pub fn parts(self) -> u64 {
        let parts = self.writes_per_s.div_ceil(self.part_writes_per_s.max(1));
        parts.clamp(1, MAX_PARTS)
    }

    /// The part that holds the row of `owner`.
    pub fn part_of(self, owner: &str) -> u64 {
        stable_hash(owner.bytes()) % self.parts()
    }
}

/// The name of a part. The first part is unnamed, as is the only part of a small store.
pub fn part_name(part: u64) -> Name {
    match part {
        0 => Name::from(""),
        _ => Name::from(part.to_string()),
    }
}
