//! What a node has to know before it serves.

use std::net::SocketAddr;

use crate::accounts::AllowanceBound;
use crate::core::Name;
use crate::retry::RetryBound;
use crate::store::StoreRates;
use crate::traffic::HeaderNames;

/// Settings that can change while the node serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LiveSettings {
    /// Where the backend server beside this node serves.
    pub backend_address: SocketAddr,
    /// How often the backend server reports.
    pub heartbeat_ms: u64,
    /// Of the whole system, for each service.
    pub retry_bound: RetryBound,
    /// How far the fleet may run ahead of an account's allowance.
    pub allowance_bound: AllowanceBound,
    /// After this time without the store's word that nothing is newer, keys are not relied on any more;
    /// `None` where they hold however old that is.
    pub keys_hold_ms: Option<u64>,
    /// How long a planned stop may take.
    pub stop_within_ms: u64,
    /// How many bytes of bodies are held at once, in sum.
    pub held_body_bytes: usize,
}

/// The checked settings of a node. Identity and addresses hold from its start to its end.
#[derive(Clone, Debug)]
pub struct TrafficSettings {
    pub node: Name,
    pub region: Name,
    /// The failure domain.
    pub domain: Name,
    /// The service of the backend server beside this node.
    pub service: Name,
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
    /// Where metrics are served, besides under their path on the readiness listener.
    pub metrics_address: Option<SocketAddr>,
    pub header_names: HeaderNames,
    /// The whole system starts for the first time, so nothing is stored of this node yet.
    pub is_first_start: bool,
    /// How many writes the store takes. Where rows lie follows from it, so it holds from start to end.
    pub store_rates: StoreRates,
    pub live: LiveSettings,
}
