//! One node of a network, with its traffic and the actions that it returned.

use std::net::SocketAddr;

use sassafrasgap::core::Name;
use sassafrasgap::core::RouteOrigin;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::TimeMs;
use sassafrasgap::membership::Membership;

/// Bytes of one node, both directions, with IP and UDP headers.
#[derive(Clone, Copy, Default)]
pub struct Traffic {
    pub datagram_bytes: u64,
    pub call_bytes: u64,
    pub messages: u64,
    /// Bytes sent into other failure domains, which cost more.
    pub cross_domain_bytes: u64,
}

#[derive(Clone)]
pub struct Node {
    pub member: Membership,
    pub is_running: bool,
    pub paused_until: TimeMs,
    pub traffic: Traffic,
    pub newer_configs: Vec<(SocketAddr, u64)>,
    pub newer_slot_maps: Vec<(Name, u64)>,
    pub route_uses: Vec<(Name, RouteOrigin)>,
    pub store_eras: Vec<u64>,
}

impl Node {
    pub fn new(member: Membership) -> Self {
        Self {
            member,
            is_running: true,
            paused_until: TimeMs::default(),
            traffic: Traffic::default(),
            newer_configs: Vec::new(),
            newer_slot_maps: Vec::new(),
            route_uses: Vec::new(),
            store_eras: Vec::new(),
        }
    }

    /// The state of a member as this node holds it.
    pub fn state_of(&self, name: &str) -> Option<TargetState> {
        let member = self.member.table().get(name);
        member.map(|member| member.published.state)
    }

    /// How many members this node holds in a state.
    pub fn count(&self, state: TargetState) -> usize {
        let members = self.member.table().iter();
        members
            .filter(|member| member.published.state == state)
            .count()
    }
}
