//! The checked settings of a node.

use std::net::SocketAddr;

use crate::core::Name;

/// What a node has to know before it starts. It learns its addresses and its failure domain from
/// here and from nowhere else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    pub node: Name,
    pub region: Name,
    pub domain: Name,
    /// Where callers send requests.
    pub caller_address: SocketAddr,
    /// Where the local backend server announces itself and sends its own calls; loopback only.
    pub local_address: SocketAddr,
    /// Where other nodes forward calls.
    pub peer_address: SocketAddr,
    /// UDP for gossip and TCP for control calls.
    pub control_address: SocketAddr,
    /// Metrics, status and drain.
    pub operator_address: SocketAddr,
    /// Control addresses of some nodes to begin with.
    pub seeds: Vec<SocketAddr>,
    /// The platform's table service and object store.
    pub platform_address: SocketAddr,
    pub traffic_threads: usize,
    /// `false` is the baseline of measurements: forward everything, three retries a hop.
    pub control_enabled: bool,
    /// The largest request or answer body that is held whole; larger ones are streamed.
    pub max_held_body_bytes: usize,
    pub max_header_bytes: usize,
}
