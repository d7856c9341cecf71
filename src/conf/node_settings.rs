//! The validated settings of a node.

use std::net::SocketAddr;

use log::LevelFilter;

use crate::conf::defaults;
use crate::core::Name;

/// The settings that a node needs at its start. They are the only source of its addresses and its
/// failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    pub node: Name,
    pub region: Name,
    pub domain: Name,
    /// Listener for callers' requests.
    pub caller_address: SocketAddr,
    /// Listener on which the local backend server registers and sends its own calls; loopback only.
    pub local_address: SocketAddr,
    /// Listener for calls that other nodes forward.
    pub peer_address: SocketAddr,
    /// UDP for gossip and TCP for control calls.
    pub control_address: SocketAddr,
    /// Listener for metrics, status and drain.
    pub operator_address: SocketAddr,
    /// Control addresses of the nodes that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The peer address announced to other nodes; `peer_address` by default.
    pub peer_advertised_address: SocketAddr,
    /// The control address announced to other nodes; `control_address` by default.
    pub control_advertised_address: SocketAddr,
    /// The platform's table service and object store.
    pub platform_address: SocketAddr,
    pub traffic_threads: usize,
    /// `false` is the baseline for measurements: every call is forwarded, with three retries a hop.
    pub control_enabled: bool,
    /// The largest request or answer body that is buffered completely; larger ones are streamed.
    pub max_held_body_bytes: usize,
    pub max_header_bytes: usize,
    /// The log level; the environment variable `RUST_LOG` overrides it.
    pub log_level: LevelFilter,
    /// How long a new connection to a peer or backend server may take.
    pub connect_timeout_ms: u64,
    /// How long an idle connection is kept open.
    pub idle_connection_ms: u64,
    /// How long a connection with a call on it may make no progress before it is closed.
    pub silence_ms: u64,
    /// How long a graceful shutdown waits for calls in flight.
    pub drain_timeout_ms: u64,
    /// How long one request to the platform may take.
    pub platform_timeout_ms: u64,
    /// How often a node that polls reads the row of the configuration in force.
    pub config_poll_ms: u64,
    /// How long an owner of slots relies on one confirmation that no other node takes them over.
    pub lease_ms: u64,
    /// The maximum number of idempotency keys that a guard remembers.
    pub max_ledger_keys: usize,
}

impl NodeSettings {
    /// Settings with all defaults. `addresses` are the caller, local, peer, control and operator
    /// addresses, in this order.
    pub fn with_defaults(
        node: Name,
        region: Name,
        domain: Name,
        addresses: [SocketAddr; 5],
        platform_address: SocketAddr,
    ) -> Self {
        let [caller, local, peer, control, operator] = addresses;
        Self {
            node,
            region,
            domain,
            caller_address: caller,
            local_address: local,
            peer_address: peer,
            control_address: control,
            operator_address: operator,
            seeds: Vec::new(),
            peer_advertised_address: peer,
            control_advertised_address: control,
            platform_address,
            traffic_threads: defaults::TRAFFIC_THREADS as usize,
            control_enabled: true,
            max_held_body_bytes: defaults::MAX_HELD_BODY_BYTES as usize,
            max_header_bytes: defaults::MAX_HEADER_BYTES as usize,
            log_level: LevelFilter::Info,
            connect_timeout_ms: defaults::CONNECT_TIMEOUT_MS,
            idle_connection_ms: defaults::IDLE_CONNECTION_MS,
            silence_ms: defaults::SILENCE_MS,
            drain_timeout_ms: defaults::DRAIN_TIMEOUT_MS,
            platform_timeout_ms: defaults::PLATFORM_TIMEOUT_MS,
            config_poll_ms: defaults::CONFIG_POLL_MS,
            lease_ms: defaults::LEASE_MS,
            max_ledger_keys: defaults::MAX_LEDGER_KEYS as usize,
        }
    }
}
