//! What the configuration task needs of the outside.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;

use crate::control::ConfigDocument;
use crate::errors::ConfigError;

/// What a peer says when it is asked for a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    Newer(ConfigDocument),
    NothingNewer,
    NoAnswer,
}

/// A read of the table: the document in force if its version is higher than the argument.
pub type Poll = Arc<
    dyn Fn(u64) -> BoxFuture<'static, Result<Option<ConfigDocument>, ConfigError>> + Send + Sync,
>;
/// A question to the peer at a control address: its configuration, if higher than the argument.
pub type QueryPeer = Arc<dyn Fn(SocketAddr, u64) -> BoxFuture<'static, PeerAnswer> + Send + Sync>;

/// One closure for each thing that the task does outside. Tests put fakes here.
#[derive(Clone)]
pub struct ConfigPorts {
    pub poll: Poll,
    pub query_peer: QueryPeer,
    /// Whether this node is one of those of its failure domain that poll.
    pub is_poller: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Control addresses of the peers to ask at the start: nodes of the own failure domain first,
    /// as they are the ones that knew what this node knew before.
    pub initial_peers: Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>,
    /// Tells the other nodes which version is in force here.
    pub announce: Arc<dyn Fn(u64) + Send + Sync>,
}
