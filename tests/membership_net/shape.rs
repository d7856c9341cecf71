//! Sizes of test networks.

/// Number of regions, failure domains and nodes of a network.
#[derive(Clone, Copy)]
pub struct Shape {
    pub regions: usize,
    pub domains_per_region: usize,
    pub nodes_per_domain: usize,
}

impl Shape {
    /// The size that docs/CAPACITY.md plans for: 720 nodes in 9 failure domains of 3 regions.
    pub const FLEET: Self = Self {
        regions: 3,
        domains_per_region: 3,
        nodes_per_domain: 80,
    };
    /// A mesh of a dozen nodes, the size that users run today.
    pub const SMALL: Self = Self {
        regions: 1,
        domains_per_region: 3,
        nodes_per_domain: 4,
    };

    pub fn domains(self) -> usize {
        self.regions * self.domains_per_region
    }

    pub fn nodes(self) -> usize {
        self.domains() * self.nodes_per_domain
    }
}
