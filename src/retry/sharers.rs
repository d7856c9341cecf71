//! The nodes that share a retry bound.

use crate::core::FastSet;
use crate::core::Name;
use crate::core::View;

/// The nodes among which the fixed allowance of a bound is divided: first among the failure domains, so
/// that domains that are cut off from each other never use the same part, then among the nodes of
/// a domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharers {
    /// All failure domains, including those that cannot be reached.
    pub domains: usize,
    /// The nodes of this node's failure domain, itself included.
    pub domain_nodes: usize,
}

impl Sharers {
    /// Counts the sharers in the view of a node of `domain`. After a start behind a partition the view
    /// lacks other domains, so the configured number of domains is the minimum.
    pub fn of(view: &View, domain: &Name, configured_domains: usize) -> Self {
        let nodes = || view.nodes.values();
        let domains: FastSet<&Name> = nodes().map(|node| &node.domain).collect();
        Self {
            domains: domains.len().max(configured_domains),
            domain_nodes: nodes().filter(|node| node.domain == *domain).count(),
        }
    }
}
