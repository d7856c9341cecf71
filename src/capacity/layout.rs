//! Where the nodes of an experiment stand: names, services and failure domains.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;

/// The full size for which the page plans.
pub const FULL_NODES: usize = 720;
pub const FULL_SERVICES: usize = 130;
pub const REGIONS: usize = 3;
pub const DOMAINS: usize = 9;

/// A death is told from a failure domain cut off by others of the domain that still answer, so
/// that even the smallest experiment needs a few nodes in each.
const LEAST_NODES_OF_DOMAIN: usize = 4;
const PEER_PORT: u16 = 7003;
const CONTROL_PORT: u16 = 7004;
/// As many bytes as an incarnation takes that was drawn from a clock.
const INCARNATION: u64 = 1 << 48;
const SLOTS: u32 = 100;

/// How many services a number of nodes has: in the ratio of the full size.
pub fn services(nodes: usize) -> usize {
    (nodes * FULL_SERVICES).div_ceil(FULL_NODES)
}

/// How many failure domains a number of nodes has.
pub fn domains(nodes: usize) -> usize {
    (nodes / LEAST_NODES_OF_DOMAIN).clamp(1, DOMAINS)
}

/// All targets of a deployment of this many nodes, with names of ordinary length.
pub fn targets(nodes: usize) -> Vec<Target> {
    (0..nodes).map(|node| target(node, nodes)).collect()
}

fn target(node: usize, nodes: usize) -> Target {
    let domain = node % domains(nodes);
    let region = format!("region-{}", domain % REGIONS);
    let domain = format!("{region}-{}", domain / REGIONS);
    let service = format!("service-{:03}", node % services(nodes));
    let [.., high, low] = (node as u32).to_be_bytes();
    let address = Ipv4Addr::new(10, 20, high, low);
    Target {
        node: Name::from(format!("{service}-{node:03}")),
        service: Name::from(service),
        region: Name::from(region),
        domain: Name::from(domain),
        peer_address: SocketAddr::from((address, PEER_PORT)),
        control_address: SocketAddr::from((address, CONTROL_PORT)),
        incarnation: INCARNATION,
        state: TargetState::Up,
        slots: SLOTS,
    }
}
