//! A deployment: its failure domains, services and their sizes.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crate::conf::NodeSettings;
use crate::core::Name;

/// The number of listeners of a node. [`Deployment::loopback_settings`] assigns a port to each.
const LISTENERS_PER_NODE: usize = 5;
/// The number of nodes in each failure domain that new nodes contact first.
const SEEDS_PER_DOMAIN: usize = 2;

/// The size of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSize {
    pub name: Name,
    pub targets: usize,
    /// How many calls one backend server runs concurrently.
    pub slots: u32,
    /// How many connections one backend server accepts.
    pub connections: u32,
}

/// The contents of a deployment file, from which meshes for tests and demos are started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deployment {
    pub name: Name,
    pub region: Name,
    pub domains: Vec<Name>,
    /// One-way latency between two failure domains, in microseconds.
    pub domain_latency_us: u64,
    /// One-way latency between callers and any node, in microseconds.
    pub client_latency_us: u64,
    /// The time a new connection takes, in microseconds.
    pub connect_cost_us: u64,
    pub services: Vec<ServiceSize>,
    /// Paths of the preset files, relative to the deployment file.
    pub presets: Vec<String>,
    /// The preset that is in force first.
    pub first_preset: Name,
}

/// The failure domain and size of one backend server and its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    pub node: Name,
    pub service: Name,
    pub domain: Name,
    pub slots: u32,
    pub connections: u32,
}

impl Deployment {
    /// Spreads the targets of each service evenly over the failure domains.
    pub fn placements(&self) -> Vec<Placement> {
        let mut placements = Vec::new();
        for service in &self.services {
            for index in 0..service.targets {
                placements.push(Placement {
                    node: Name::from(format!("{}-{}", service.name, index + 1)),
                    service: service.name.clone(),
                    domain: self.domains[index % self.domains.len()].clone(),
                    slots: service.slots,
                    connections: service.connections,
                });
            }
        }
        placements
    }

    /// Settings of every node on loopback, in the order of [`Self::placements`]. `free_port`
    /// supplies the ports; `change` adjusts settings that differ from the defaults.
    pub fn loopback_settings(
        &self,
        platform_address: SocketAddr,
        mut free_port: impl FnMut() -> u16,
        change: impl Fn(&mut NodeSettings),
    ) -> Vec<NodeSettings> {
        let mut nodes = Vec::new();
        for placement in self.placements() {
            let ports: Vec<u16> = (0..LISTENERS_PER_NODE).map(|_| free_port()).collect();
            let address = |index: usize| SocketAddr::new(loopback(), ports[index]);
            let mut settings = NodeSettings::with_defaults(
                placement.node,
                self.region.clone(),
                placement.domain,
                [0, 1, 2, 3, 4].map(address),
                platform_address,
            );
            change(&mut settings);
            nodes.push(settings);
        }
        let seeds = self.seeds(&nodes);
        for settings in &mut nodes {
            settings.seeds.clone_from(&seeds);
        }
        nodes
    }

    fn seeds(&self, nodes: &[NodeSettings]) -> Vec<SocketAddr> {
        let mut seeds = Vec::new();
        for domain in &self.domains {
            let of_domain = nodes.iter().filter(|node| node.domain == *domain);
            let addresses = of_domain.map(|node| node.control_advertised_address);
            seeds.extend(addresses.take(SEEDS_PER_DOMAIN));
        }
        seeds
    }
}

fn loopback() -> IpAddr {
    IpAddr::V4(Ipv4Addr::LOCALHOST)
}
