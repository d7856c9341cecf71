//! The external operations of the configuration task.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;

use crate::control::ConfigDocument;
use crate::errors::ConfigError;

/// The result of querying a peer for a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    Newer(ConfigDocument),
    NothingNewer,
    NoAnswer,
}

/// Reads the document in force from the table, if its version is higher than the argument.
pub type Poll = Arc<
    dyn Fn(u64) -> BoxFuture<'static, Result<Option<ConfigDocument>, ConfigError>> + Send + Sync,
>;
/// Queries the peer at a control address for its configuration, if the version is higher than the
/// argument.
pub type QueryPeer = Arc<dyn Fn(SocketAddr, u64) -> BoxFuture<'static, PeerAnswer> + Send + Sync>;

/// One closure for each external operation of the task. Tests provide fakes.
#[derive(Clone)]
pub struct ConfigPorts {
    pub poll: Poll,
    pub query_peer: QueryPeer,
    /// Whether this node is one of the pollers of its failure domain.
    pub is_poller: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Control addresses of the peers to query at the start. Nodes of the own failure domain come
    /// first: they have the versions that this node had in force before a restart.
    pub initial_peers: Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>,
    /// Announces the version in force here to the other nodes.
    pub announce: Arc<dyn Fn(u64) + Send + Sync>,
}
