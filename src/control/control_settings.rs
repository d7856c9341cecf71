//! The settings of the control thread.

use std::net::SocketAddr;

use crate::conf::NodeSettings;
use crate::core::Clock;
use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;
use crate::membership::MembershipSettings;

/// The identity of this node, its addresses, and the nodes that it contacts first.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    pub node: Name,
    pub region: Name,
    pub domain: Name,
    /// Where other nodes forward calls to; announced to all members.
    pub peer_address: SocketAddr,
    /// Where to listen for datagrams and control calls. Port 0 binds any free port.
    pub control_address: SocketAddr,
    /// The address at which other nodes reach the listener. Port 0 is replaced by the bound port.
    pub advertised_address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub membership: MembershipSettings,
    /// The clock of the whole process, so that its times are comparable.
    pub clock: Clock,
}

impl ControlSettings {
    /// Builds the settings from those of the node. The peer listener must be bound before, so that
    /// `peer_address` has the real port.
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

    /// The first member record of this node, whose control listener is bound to `bound`. Its
    /// backend server has not announced itself yet.
    pub fn initial_target(&self, bound: SocketAddr) -> Target {
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
