//! The checked settings of a node.

use std::net::SocketAddr;

use log::LevelFilter;

use crate::conf::defaults;
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
    /// What other nodes are told instead of `peer_address`, where the two differ.
    pub peer_advertised_address: SocketAddr,
    /// What other nodes are told instead of `control_address`, where the two differ.
    pub control_advertised_address: SocketAddr,
    /// The platform's table service and object store.
    pub platform_address: SocketAddr,
    pub traffic_threads: usize,
    /// `false` is the baseline of measurements: forward everything, three retries a hop.
    pub control_enabled: bool,
    /// The largest request or answer body that is held whole; larger ones are streamed.
    pub max_held_body_bytes: usize,
    pub max_header_bytes: usize,
    /// How much is logged; the environment variable `RUST_LOG` overrides it.
    pub log_level: LevelFilter,
    /// How long a new connection to a peer or backend server may take.
    pub connect_timeout_ms: u64,
    /// How long an unused connection is kept open.
    pub idle_connection_ms: u64,
    /// How long a connection with a call on it may make no progress before it is given up.
    pub silence_ms: u64,
    /// How long a planned stop waits for calls in flight.
    pub drain_timeout_ms: u64,
    /// How long one request to the platform may take.
    pub platform_timeout_ms: u64,
    /// How often a polling node reads the row of the configuration in force.
    pub config_poll_ms: u64,
    /// How long an owner of slots relies on one sign that nobody takes them over.
    pub lease_ms: u64,
    /// How many idempotency keys a guard remembers at most.
    pub max_ledger_keys: usize,
}

impl NodeSettings {
    /// Settings with every default. `addresses` are those of callers, local backend server, peers,
    /// control and operators, in this order.
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
