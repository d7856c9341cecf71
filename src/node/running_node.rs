//! Starting the listeners of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::adapters::Body;
use crate::adapters::bind;
use crate::adapters::serve;
use crate::conf::NodeSettings;
use crate::errors::NodeError;
use crate::node::Node;
use crate::node::NodeInputs;
use crate::node::caller_headers;
use crate::node::entry::Origin;
use crate::node::entry::serve_call;
use crate::node::guard::serve_peer;
use crate::node::local_listener::serve_local;
use crate::node::operators::serve_operator;

/// How often admission looks at the time.
const GATE_TICK: Duration = Duration::from_millis(10);

/// A node whose listeners are open. Dropping it closes them.
pub struct RunningNode {
    pub node: Arc<Node>,
    pub caller_address: SocketAddr,
    pub local_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub operator_address: SocketAddr,
    tasks: JoinSet<()>,
}

impl RunningNode {
    /// Opens the four listeners and serves on them.
    ///
    /// # Errors
    /// When an address cannot be bound; the error names the listener.
    pub async fn start(settings: NodeSettings, inputs: NodeInputs) -> Result<Self, NodeError> {
        let callers = listen("callers", settings.caller_address).await?;
        let local = listen("the local backend server", settings.local_address).await?;
        let peers = listen("other nodes", settings.peer_address).await?;
        let operators = listen("operators", settings.operator_address).await?;
        let mut running = Self {
            node: Arc::new(Node::new(settings, inputs)),
            caller_address: callers.1,
            local_address: local.1,
            peer_address: peers.1,
            operator_address: operators.1,
            tasks: JoinSet::new(),
        };
        running.serve(callers.0, |node, request| async move {
            let forged = caller_headers::count_forged(request.headers());
            node.metrics.forged_headers.inc_by(forged as u64);
            serve_call(&node, request, Origin::Caller).await
        });
        running.serve(local.0, |node, request| async move {
            serve_local(&node, request).await
        });
        running.serve(peers.0, |node, request| async move {
            serve_peer(&node, request).await
        });
        running.serve(operators.0, |node, request| async move {
            serve_operator(&node, request).await
        });
        running.poll_gate();
        Ok(running)
    }

    /// Waiting calls give up in time also when nothing else happens at the guard.
    fn poll_gate(&mut self) {
        let node = self.node.clone();
        self.tasks.spawn(async move {
            let mut ticks = tokio::time::interval(GATE_TICK);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                node.gate.poll();
            }
        });
    }

    fn serve<F, R>(&mut self, listener: TcpListener, handler: F)
    where
        F: Fn(Arc<Node>, Request<Body>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let node = self.node.clone();
        self.tasks.spawn(serve(listener, move |request, _| {
            handler(node.clone(), request)
        }));
    }
}

async fn listen(
    listener: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), NodeError> {
    let failed = |source| NodeError::Bind {
        listener,
        address,
        source,
    };
    let socket = bind(address).await.map_err(failed)?;
    let bound = socket.local_addr().map_err(failed)?;
    Ok((socket, bound))
}
