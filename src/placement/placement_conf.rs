//! Configuration of placement across failure domains.

/// Default of [`PlacementConf::stay_permille`]: above this load, service times begin to grow.
const DEFAULT_STAY_PERMILLE: u32 = 900;

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
