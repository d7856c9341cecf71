//! Operator requests that one node forwards to another.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::ready;

use crate::control::PeerClients;
use crate::errors::PeerCallError;

/// Queries the status of the node with a control address, in JSON.
pub type QueryStatus =
    Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, Result<String, PeerCallError>> + Send + Sync>;
/// Requests a drain from the node with a control address.
pub type RequestDrain =
    Arc<dyn Fn(SocketAddr) -> BoxFuture<'static, Result<(), PeerCallError>> + Send + Sync>;

/// Operators connect to the operators' listener of one node. Requests to other nodes go over
/// control calls.
#[derive(Clone)]
pub struct PeerOperations {
    pub status: QueryStatus,
    pub drain: RequestDrain,
}

impl PeerOperations {
    /// Operations that reach no node.
    pub fn none() -> Self {
        Self {
            status: Arc::new(|_| ready(Err(PeerCallError::Stopped)).boxed()),
            drain: Arc::new(|_| ready(Err(PeerCallError::Stopped)).boxed()),
        }
    }

    /// Operations that reach peers by control calls.
    pub fn over(clients: &Arc<PeerClients>) -> Self {
        let (status_clients, drain_clients) = (clients.clone(), clients.clone());
        Self {
            status: Arc::new(move |address| {
                let clients = status_clients.clone();
                async move { clients.node_status(address).await }.boxed()
            }),
            drain: Arc::new(move |address| {
                let clients = drain_clients.clone();
                async move { clients.drain(address).await }.boxed()
            }),
        }
    }
}
