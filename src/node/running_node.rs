//! Starts the listeners of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::adapters::Body;
use crate::adapters::serve;
use crate::conf::NodeSettings;
use crate::errors::NodeError;
use crate::node::Listener;
use crate::node::Listeners;
use crate::node::Node;
use crate::node::NodeInputs;
use crate::node::caller_headers;
use crate::node::entry::Origin;
use crate::node::entry::serve_call;
use crate::node::guard::serve_peer;
use crate::node::local_listener::serve_local;
use crate::node::operators::serve_operator;

/// The interval at which admission is polled.
const GATE_TICK: Duration = Duration::from_millis(10);

/// A node with open listeners. Dropping it closes them.
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
        let listeners = Listeners::open(&settings).await?;
        Ok(Self::serve(listeners, settings, inputs))
    }

    /// Serves on open listeners.
    pub fn serve(listeners: Listeners, settings: NodeSettings, inputs: NodeInputs) -> Self {
        let mut running = Self {
            node: Arc::new(Node::new(settings, inputs)),
            caller_address: listeners.callers.address,
            local_address: listeners.local.address,
            peer_address: listeners.peers.address,
            operator_address: listeners.operators.address,
            tasks: JoinSet::new(),
        };
        running.spawn(listeners.callers, |node, request| async move {
            let forged = caller_headers::count_forged(request.headers());
            node.metrics.forged_headers.inc_by(forged as u64);
            let response = serve_call(&node, request, Origin::Caller).await;
            closing_while_draining(&node, response)
        });
        running.spawn(listeners.local, |node, request| async move {
            serve_local(&node, request).await
        });
        running.spawn(listeners.peers, |node, request| async move {
            serve_peer(&node, request).await
        });
        running.spawn(listeners.operators, |node, request| async move {
            serve_operator(&node, request).await
        });
        running.poll_gate();
        running
    }

    /// Polls admission, so that waiting calls time out even if no other call arrives or ends.
    fn poll_gate(&mut self) {
        let node = self.node.clone();
        self.tasks.spawn(async move {
            let mut ticks = tokio::time::interval(GATE_TICK);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                node.gate.set_classes(node.classes_in_force());
                node.gate.poll();
            }
        });
    }

    fn spawn<F, R>(&mut self, listener: Listener, handler: F)
    where
        F: Fn(Arc<Node>, Request<Body>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let node = self.node.clone();
        self.tasks.spawn(serve(listener.socket, move |request, _| {
            handler(node.clone(), request)
        }));
    }
}

/// Makes the caller open a new connection, to another node, for its next call. A call sent over a
/// kept connection just as the process ends would be interrupted.
fn closing_while_draining(node: &Node, mut response: Response<Body>) -> Response<Body> {
    if node.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
