//! The listeners of a node and their request handlers.

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

/// Idle time-out of a connection between nodes, in milliseconds: longer than the sender's, so the
/// sender closes it first.
const PEER_IDLE_MS: u64 = 30_000;
/// Maximum size of the headers of a call between nodes: the caller's headers and the hop context.
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
    /// Opens all listeners.
    ///
    /// # Errors
    /// Fails if an address cannot be bound, except that of the metrics.
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

/// Opens the metrics listener. The node also serves without it.
async fn open_metrics(address: Option<SocketAddr>) -> Option<TcpListener> {
    match open("metrics", address?).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::warn!("node: metrics only available on the readiness listener, error={error}");
            None
        }
    }
}

/// The bound address; it has the actual port if port 0 was requested.
pub(super) fn local_address(listener: &TcpListener, requested: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(requested)
}

/// Serves until the task is dropped.
pub(super) async fn serve_callers(traffic: Arc<Traffic>, listener: TcpListener) {
    let desired = traffic.desired.clone();
    let conf = move || {
        let limits = desired.limits();
        let idle_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
        ListenerConf {
            idle_ms,
            max_head_bytes: limits.max_header_bytes,
            // The system also counts the time in which a caller acknowledges everything and only
            // reads nothing. A caller may pause for as long as it may be idle.
            silence_ms: idle_ms,
        }
    };
    let stopping = traffic.stopping.subscribe();
    let used = traffic.used_connections.clone();
    let handler = move |request: Request<Incoming>, _| serve_caller(traffic.clone(), request);
    serve_http(listener, conf, stopping, used, handler).await;
}

/// Serves until the task is dropped.
pub(super) async fn serve_peers(traffic: Arc<Traffic>, listener: TcpListener) {
    let conf = || ListenerConf {
        idle_ms: PEER_IDLE_MS,
        max_head_bytes: PEER_HEAD_BYTES,
        silence_ms: SILENCE_MS,
    };
    let closed = traffic.guard_closed.subscribe();
    let used = traffic.used_connections.clone();
    let handler = move |request: Request<Incoming>, _| serve_peer(traffic.clone(), request);
    serve_http(listener, conf, closed, used, handler).await;
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
    // These listeners stay open during a stop, so readiness checks are still answered.
    let (_never, stopping) = watch::channel(false);
    let handler =
        move |request: Request<Incoming>, _| serve_admin(traffic.clone(), admin.clone(), request);
    serve_http(listener, conf, stopping, Arc::default(), handler).await;
}
