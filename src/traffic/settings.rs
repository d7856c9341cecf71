//! The settings of a node.

use std::net::SocketAddr;

use crate::accounts::AllowanceBound;
use crate::core::Name;
use crate::placement::PlacementConf;
use crate::retry::RetryBound;
use crate::store::StoreRates;
use crate::traffic::HeaderNames;

/// Settings that can change while the node runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LiveSettings {
    /// The address of the local backend server.
    pub backend_address: SocketAddr,
    /// The period of the backend server's reports.
    pub heartbeat_ms: u64,
    /// The system-wide limit of retries, per service.
    pub retry_bound: RetryBound,
    /// The number of failure domains, including those that cannot be reached; 0 if it is not
    /// configured.
    pub configured_domains: usize,
    /// How far all nodes together may exceed an account's allowance.
    pub allowance_bound: AllowanceBound,
    /// How long account keys stay valid without a confirmation that the store holds nothing newer.
    /// `None` if they stay valid without a time limit.
    pub keys_hold_ms: Option<u64>,
    /// The time limit of a planned stop.
    pub stop_within_ms: u64,
    /// The maximum total of body bytes held in memory.
    pub held_body_bytes: usize,
    /// Up to this load, in thousandths of its capacity, a failure domain keeps all its calls.
    pub domain_stay_permille: u32,
}

impl LiveSettings {
    /// The configuration of placement across failure domains.
    pub(super) fn placement_conf(&self) -> PlacementConf {
        PlacementConf {
            stay_permille: self.domain_stay_permille,
        }
    }
}

/// The validated settings of a node. Its identity and addresses do not change while it runs.
#[derive(Clone, Debug)]
pub struct TrafficSettings {
    pub node: Name,
    pub region: Name,
    /// The failure domain.
    pub domain: Name,
    /// The service of the local backend server. It can change while the node runs.
    pub service: Name,
    /// The listener for requests of local callers and of the backend server.
    pub caller_address: SocketAddr,
    /// The listener for calls forwarded by other nodes.
    pub peer_address: SocketAddr,
    /// UDP for gossip and TCP for control calls.
    pub control_address: SocketAddr,
    /// The listener for readiness checks.
    pub ready_address: SocketAddr,
    /// The listener for reports of the backend server.
    pub report_address: SocketAddr,
    /// The listener for metrics, which are also served under their path on the readiness listener.
    pub metrics_address: Option<SocketAddr>,
    pub header_names: HeaderNames,
    /// The whole system starts for the first time, so the store has no row of this node yet.
    pub is_first_start: bool,
    /// The write rates that the store accepts. They determine the parts where rows are stored, so
    /// they do not change while the node runs.
    pub store_rates: StoreRates,
    pub live: LiveSettings,
}
