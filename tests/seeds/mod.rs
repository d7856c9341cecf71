//! The seeds of drawn runs, which a longer run by hand can replace.

use std::ops::Range;

/// `count` seeds from `first` on. `SASSAFRASGAP_FROM` and `SASSAFRASGAP_SEEDS` replace these numbers.
pub fn seeds(first: u64, count: u64) -> Range<u64> {
    let first = from_environment("SASSAFRASGAP_FROM", first);
    first..first + from_environment("SASSAFRASGAP_SEEDS", count)
}

fn from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}
