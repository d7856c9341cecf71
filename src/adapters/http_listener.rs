//! A listener that serves HTTP/1.1 with `hyper` directly.
//!
//! With `gotham` and the pool of `hyper-util`, a call took 460 us of CPU time at entry and guard
//! together (docs/MEASUREMENTS.md), which is too much for a small VM. `gotham` is built on `hyper`,
//! so `hyper` is used here without it (docs/PLATFORM.md has the CPU time of this version).

use std::error::Error;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::server::conn::http1::Connection;
use hyper::service::HttpService;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::adapters::FairStream;
use crate::adapters::UsedConnections;
use crate::adapters::connection_pool::set_options;
use crate::adapters::used_connections::UsedConnection;

/// The pause after a failed accept. The usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a connection that was open when the listener stopped may take to send its first
/// request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// The smallest buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Limits of a listener's connections.
#[derive(Clone, Copy, Debug)]
pub struct ListenerConf {
    /// How long a connection may take to deliver a complete request head, including the idle time
    /// before it.
    pub idle_ms: u64,
    /// The largest request head, in bytes. Values below 8 KiB count as 8 KiB.
    pub max_head_bytes: usize,
    /// A connection is closed if sent data is not acknowledged for this long.
    pub silence_ms: u64,
}

/// Serves until the future is dropped, which closes all its connections. Once `stopping` is true,
/// each connection is closed after its current answer, and each new connection gets one answer.
///
/// `conf` is called for each new connection, so changed limits apply to connections accepted later.
/// A handler is dropped when its caller closes the connection. `used` counts connections that have
/// carried a request.
pub async fn serve_http<F, R>(
    listener: TcpListener,
    conf: impl Fn() -> ListenerConf,
    stopping: watch::Receiver<bool>,
    used: Arc<UsedConnections>,
    handler: F,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let handler = Arc::new(handler);
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                connections.spawn(handle_connection(
                    stream,
                    from,
                    conf(),
                    stopping.clone(),
                    used.clone(),
                    handler.clone(),
                ));
            }
            Err(error) => {
                log::warn!("listener: cannot accept, error={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        while let Some(ended) = connections.try_join_next() {
            if let Err(error) = ended {
                log::error!("listener: a connection's task failed, error={error}");
            }
        }
    }
}

/// Closes a connection after its current answer, or after the first one.
///
/// A connection that a caller has just opened looks idle. If it were closed at once, a request that
/// has arrived and was not read yet would be lost. Such a connection therefore gets
/// [`FIRST_REQUEST_TIMEOUT`] for its first request.
async fn close_after_answer<S>(
    mut connection: Pin<&mut Connection<TokioIo<FairStream>, S>>,
    first_request: &OnceLock<UsedConnection>,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if first_request.get().is_none()
        && let Ok(ended) = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, connection.as_mut()).await
    {
        return ended;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Completes when the listener stops. Never completes if the sender of `stopping` is dropped.
async fn wait_until_stopping(stopping: &mut watch::Receiver<bool>) {
    if stopping.wait_for(|stopping| *stopping).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn handle_connection<F, R>(
    stream: TcpStream,
    from: SocketAddr,
    conf: ListenerConf,
    mut stopping: watch::Receiver<bool>,
    used: Arc<UsedConnections>,
    handler: Arc<F>,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    if let Err(error) = set_options(&stream, conf.silence_ms) {
        log::debug!("listener: cannot set options, from={from} error={error}");
    }
    let is_stopping = *stopping.borrow();
    let first_request = Arc::new(OnceLock::new());
    let counted = first_request.clone();
    let service = service_fn(move |request| {
        counted.get_or_init(|| used.enter());
        // A connection reserves the memory of this future also while it is idle. The future of a
        // call is several kilobytes, so it is allocated for each call instead.
        let answer = Box::pin(handler(request, from));
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .header_read_timeout(Duration::from_millis(conf.idle_ms))
        .keep_alive(!is_stopping)
        .max_buf_size(conf.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(FairStream::new(stream)), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = wait_until_stopping(&mut stopping), if !is_stopping => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => close_after_answer(connection, &first_request).await,
    };
    if let Err(error) = ended {
        log::debug!("listener: connection ended, from={from} error={error}");
    }
}
