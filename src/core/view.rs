//! The immutable picture of all targets that the control thread publishes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::SharedMap;

/// Where a target stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The node runs; its backend server has not announced itself, or is down.
    Starting,
    /// The backend server takes work.
    Up,
    /// No new work; what is in flight finishes.
    Draining,
    /// Its node does not answer; others still check.
    Suspect,
    /// Its node is taken to be gone.
    Dead,
    /// It said that it leaves and has finished.
    Left,
}

impl TargetState {
    /// Whether new work may be sent there. A suspect is still tried: its own answers decide.
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Up | Self::Suspect)
    }
}

/// One backend server together with the node beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    pub node: Name,
    /// The service of its backend server; empty until the backend server announced itself.
    pub service: Name,
    pub region: Name,
    pub domain: Name,
    /// HTTP address to which other nodes forward calls.
    pub peer_address: SocketAddr,
    /// Address of the gossip datagrams (UDP) and of the control calls (TCP, tarpc).
    pub control_address: SocketAddr,
    /// Orders the news about one node; a smaller one never overrides a larger.
    pub incarnation: u64,
    pub state: TargetState,
    /// How many calls the backend server says it runs at once; a hint that may only lower.
    pub slots: u32,
}

/// All targets known to this node, by service, with the count of changes so far.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub changes: u64,
    /// Targets of each service, ordered by node name so that every node sees the same order.
    pub services: FastMap<Name, Arc<[Arc<Target>]>>,
    /// Every node by name, also those without a backend server.
    pub nodes: SharedMap<Name, Arc<Target>>,
    /// Failure domains from which nothing has been heard lately, as this node sees it.
    pub cut_off_domains: Vec<Name>,
}

impl View {
    /// The targets of a service; empty when it is unknown.
    pub fn targets(&self, service: &str) -> &[Arc<Target>] {
        self.services.get(service).map_or(&[], |targets| targets)
    }
}
