//! The listeners of a node, and what serves them.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Request;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::adapters::ListenerConf;
use crate::adapters::bind;
use crate::adapters::serve_http;
use crate::errors::TrafficError;
use crate::traffic::AdminProtocol;
use crate::traffic::TrafficSettings;
use crate::traffic::admin::serve_admin;
use crate::traffic::entry::serve_caller;
use crate::traffic::guard::serve_peer;
use crate::traffic::traffic::SILENCE_MS;
use crate::traffic::traffic::Traffic;

/// How long a connection between nodes may stay unused: longer than the sender keeps it.
const PEER_IDLE_MS: u64 = 30_000;
/// The longest head of a call between nodes: a caller's own, and the context beside it.
const PEER_HEAD_BYTES: usize = 128 * 1024;

/// The open listeners of a node.
pub(super) struct Listeners {
    pub callers: TcpListener,
    pub peers: TcpListener,
    pub ready: TcpListener,
    pub reports: TcpListener,
    pub metrics: Option<TcpListener>,
}

impl Listeners {
    /// Opens all of them.
    ///
    /// # Errors
    /// When an address cannot be bound, except that of the metrics.
    pub(super) async fn open(settings: &TrafficSettings) -> Result<Self, TrafficError> {
        Ok(Self {
            callers: open("callers", settings.caller_address).await?,
            peers: open("peers", settings.peer_address).await?,
            ready: open("ready", settings.ready_address).await?,
            reports: open("reports", settings.report_address).await?,
            metrics: open_metrics(settings.metrics_address).await,
        })
    }
}

async fn open(listener: &'static str, address: SocketAddr) -> Result<TcpListener, TrafficError> {
    bind(address).await.map_err(|source| TrafficError::Bind {
        listener,
        address,
        source,
    })
}

/// A node without this listener serves all the same.
async fn open_metrics(address: Option<SocketAddr>) -> Option<TcpListener> {
    match open("metrics", address?).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::warn!("node: metrics are served on the readiness listener only, error={error}");
            None
        }
    }
}

/// The address with the real port when any was asked for.
pub(super) fn local_address(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}

/// Serves until the task is dropped.
pub(super) async fn serve_callers(traffic: Arc<Traffic>, listener: TcpListener) {
    let desired = traffic.desired.clone();
    let conf = move || {
        let limits = desired.limits();
        ListenerConf {
            idle_ms: limits.idle_timeout_ms.max(limits.header_timeout_ms),
            max_head_bytes: limits.max_header_bytes,
            silence_ms: SILENCE_MS,
        }
    };
    let stopping = traffic.stopping.subscribe();
    let handler = move |request: Request<Incoming>, _| serve_caller(traffic.clone(), request);
    serve_http(listener, conf, stopping, handler).await;
}

/// Serves until the task is dropped.
pub(super) async fn serve_peers(traffic: Arc<Traffic>, listener: TcpListener) {
    let conf = || ListenerConf {
        idle_ms: PEER_IDLE_MS,
        max_head_bytes: PEER_HEAD_BYTES,
        silence_ms: SILENCE_MS,
    };
    let closed = traffic.guard_closed.subscribe();
    let handler = move |request: Request<Incoming>, _| serve_peer(traffic.clone(), request);
    serve_http(listener, conf, closed, handler).await;
}

/// Serves until the task is dropped.
pub(super) async fn serve_admins(
    traffic: Arc<Traffic>,
    admin: AdminProtocol,
    listener: TcpListener,
) {
    let conf = || ListenerConf {
        idle_ms: PEER_IDLE_MS,
        max_head_bytes: 0,
        silence_ms: SILENCE_MS,
    };
    // These go on during a stop: whoever asks must get an answer.
    let (_never, stopping) = watch::channel(false);
    let handler =
        move |request: Request<Incoming>, _| serve_admin(traffic.clone(), admin.clone(), request);
    serve_http(listener, conf, stopping, handler).await;
}
