//! Configuration of placement across failure domains.

use std::ops::RangeInclusive;

/// Default of [`PlacementConf::stay_permille`]: above this load, service times begin to grow.
const DEFAULT_STAY_PERMILLE: u32 = 900;

/// The values of [`PlacementConf::stay_permille`] that are accepted. A domain that keeps less than a
/// tenth of what it can run would send nearly all calls away, whatever they cost.
pub const STAY_PERMILLE_RANGE: RangeInclusive<u32> = 100..=1_000;

/// How much of the load stays in its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementConf {
    /// Up to this load, in thousandths of its capacity, a domain keeps all its calls. It is the
    /// weight that the operator gives to a call across domains: with 1,000 calls leave only once
    /// the domain's targets are full.
    pub stay_permille: u32,
}

impl Default for PlacementConf {
    fn default() -> Self {
        Self {
            stay_permille: DEFAULT_STAY_PERMILLE,
        }
    }
}
