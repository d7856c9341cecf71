//! The demand for a service in one failure domain, and the capacity there.

use crate::core::Name;

/// What one failure domain offers to a service and what its targets of that service can run.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainLoad {
    pub domain: Name,
    /// First attempts per second that the domain's entries offer, including those of calls that are
    /// refused later.
    pub demand_per_s: f32,
    /// Calls per second that the domain's targets can run at their limits; 0 without a target.
    pub capacity_per_s: f32,
    /// The sum of the targets' slots.
    pub slots: u32,
    /// The pressure on the domain's targets, weighted by slots, in thousandths.
    pub pressure_permille: u32,
}
