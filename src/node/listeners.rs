//! The four listeners of a node. They are opened before anything is served, so that their ports are
//! known.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::adapters::bind;
use crate::conf::NodeSettings;
use crate::errors::NodeError;

/// A listener and the address it is bound to.
pub struct Listener {
    pub socket: TcpListener,
    pub address: SocketAddr,
}

/// Open listeners.
pub struct Listeners {
    pub callers: Listener,
    pub local: Listener,
    pub peers: Listener,
    pub operators: Listener,
}

impl Listeners {
    /// Opens the listeners named in the settings.
    ///
    /// # Errors
    /// When an address cannot be bound; the error names the listener.
    pub async fn open(settings: &NodeSettings) -> Result<Self, NodeError> {
        Ok(Self {
            callers: listen("callers", settings.caller_address).await?,
            local: listen("the local backend server", settings.local_address).await?,
            peers: listen("other nodes", settings.peer_address).await?,
            operators: listen("operators", settings.operator_address).await?,
        })
    }
}

async fn listen(listener: &'static str, address: SocketAddr) -> Result<Listener, NodeError> {
    let failed = |source| NodeError::Bind {
        listener,
        address,
        source,
    };
    let socket = bind(address).await.map_err(failed)?;
    let address = socket.local_addr().map_err(failed)?;
    Ok(Listener { socket, address })
}
