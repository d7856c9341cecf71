//! What the control thread has to know before it starts.

use std::net::SocketAddr;

use crate::conf::NodeSettings;
use crate::core::Clock;
use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;
use crate::membership::MembershipSettings;

/// Who this node is, where it listens and whom it asks first.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    pub node: Name,
    pub region: Name,
    pub domain: Name,
    /// Where other nodes forward calls; told to all members.
    pub peer_address: SocketAddr,
    /// Where to listen for datagrams and control calls; port 0 takes any free port.
    pub control_address: SocketAddr,
    /// Where others reach that address; port 0 stands for the port that was bound.
    pub advertised_address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub membership: MembershipSettings,
    /// The clock of the whole process, so that its times can be compared.
    pub clock: Clock,
}

impl ControlSettings {
    /// Takes from a node's settings what concerns control. The peer listener must be bound
    /// before, so that its real port is in `peer_address`.
    pub fn new(node: &NodeSettings, peer_address: SocketAddr, clock: Clock) -> Self {
        Self {
            node: node.node.clone(),
            region: node.region.clone(),
            domain: node.domain.clone(),
            peer_address,
            control_address: node.control_address,
            advertised_address: node.control_advertised_address,
            seeds: node.seeds.clone(),
            membership: MembershipSettings::default(),
            clock,
        }
    }

    /// The first record of this node, bound at `bound`: its backend server has not announced
    /// itself yet.
    pub fn first_target(&self, bound: SocketAddr) -> Target {
        let mut control_address = self.advertised_address;
        if control_address.port() == 0 {
            control_address.set_port(bound.port());
        }
        Target {
            node: self.node.clone(),
            service: Name::from(""),
            region: self.region.clone(),
            domain: self.domain.clone(),
            peer_address: self.peer_address,
            control_address,
            incarnation: 0,
            state: TargetState::Starting,
            slots: 0,
        }
    }
}
