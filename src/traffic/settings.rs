//! What a node has to know before it serves.

use std::net::SocketAddr;

use crate::core::Name;
use crate::traffic::HeaderNames;

/// A node's part in the bound on requests that are sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryShare {
    /// Further sends per hundred first ones, at each level of a call chain.
    pub percent: u32,
    /// Further sends that may follow each other without first ones in between.
    pub burst: u32,
}

/// The checked settings of a node.
#[derive(Clone, Debug)]
pub struct TrafficSettings {
    pub node: Name,
    pub region: Name,
    /// The failure domain.
    pub domain: Name,
    /// The service of the backend server beside this node.
    pub service: Name,
    /// Where that backend server serves.
    pub backend_address: SocketAddr,
    /// Where local callers and the backend server send requests.
    pub caller_address: SocketAddr,
    /// Where other nodes forward calls.
    pub peer_address: SocketAddr,
    /// UDP for gossip and TCP for control calls.
    pub control_address: SocketAddr,
    /// Where readiness is asked for.
    pub ready_address: SocketAddr,
    /// Where the backend server reports.
    pub report_address: SocketAddr,
    pub header_names: HeaderNames,
    /// How often the backend server reports.
    pub heartbeat_ms: u64,
    pub retry_share: RetryShare,
    /// How long a planned stop may take.
    pub stop_within_ms: u64,
    /// How many bytes of bodies are held at once, in sum.
    pub held_body_bytes: usize,
}
