//! The immutable snapshot of all targets that the control thread publishes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::SharedMap;

/// The lifecycle state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The node is running, but its backend server has not announced itself or is down.
    Starting,
    /// The backend server accepts new calls.
    Up,
    /// No new calls are accepted. Calls in flight are completed.
    Draining,
    /// Its node does not answer. Other nodes are still probing it.
    Suspect,
    /// Its node is considered dead.
    Dead,
    /// It announced its departure and has finished its calls.
    Left,
}

impl TargetState {
    /// Whether new calls may be sent to the target. A suspect is still tried, and its answers
    /// decide whether it stays in use.
    pub fn accepts_calls(self) -> bool {
        matches!(self, Self::Up | Self::Suspect)
    }
}

/// One backend server and the node beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    pub node: Name,
    /// The service of its backend server; empty until the backend server announced itself.
    pub service: Name,
    pub region: Name,
    pub domain: Name,
    /// The HTTP address to which other nodes forward calls.
    pub peer_address: SocketAddr,
    /// The address for gossip datagrams (UDP) and control calls (TCP, tarpc).
    pub control_address: SocketAddr,
    /// Orders updates about one node: an update with a smaller incarnation never overrides a larger
    /// one.
    pub incarnation: u64,
    pub state: TargetState,
    /// How many calls the backend server reports that it runs at once. The hint can only lower a
    /// limit.
    pub slots: u32,
}

/// All targets known to this node, by service.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The number of changes so far.
    pub changes: u64,
    /// The targets of each service, ordered by node name so that every node has the same order.
    pub services: FastMap<Name, Arc<[Arc<Target>]>>,
    /// All nodes by name, including those without a backend server.
    pub nodes: SharedMap<Name, Arc<Target>>,
    /// Failure domains from which this node has received nothing recently.
    pub cut_off_domains: Vec<Name>,
}

impl View {
    /// The targets of a service; empty if the service is unknown.
    pub fn targets(&self, service: &str) -> &[Arc<Target>] {
        self.services.get(service).map_or(&[], |targets| targets)
    }
}
