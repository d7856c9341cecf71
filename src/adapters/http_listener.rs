//! A listener that serves HTTP/1.1 by `hyper` itself.
//!
//! With `gotham` and the pool of `hyper-util` a call took 460 us of processor time at entry and
//! guard together (docs/MEASUREMENTS.md), more than a small machine has; so here its nearest kin is
//! used (docs/PLATFORM.md has the figure of this way).

use std::error::Error;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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

use crate::adapters::connection_pool::set_options;

/// The pause after a failure to accept, which is mostly a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a connection that was open when the listener stopped may take over its first request.
const FIRST_REQUEST_WITHIN: Duration = Duration::from_millis(300);
/// The smallest buffer that `hyper` takes, in bytes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;

/// Bounds of a listener's connections.
#[derive(Clone, Copy, Debug)]
pub struct ListenerConf {
    /// How long a connection may bring no whole request head; it includes the time without a
    /// request.
    pub idle_ms: u64,
    /// The longest request head.
    pub max_head_bytes: usize,
    /// Nothing acknowledged for so long ends a connection.
    pub silence_ms: u64,
}

/// Serves until the task is dropped, which ends all its connections. Once `stopping` holds true, connections are closed after the
/// answer that is under way, and new ones get one answer each.
///
/// The bounds are asked for at each new connection, so that changed ones hold from then on. A
/// handler is dropped when its caller closes the connection.
pub async fn serve_http<F, R>(
    listener: TcpListener,
    conf: impl Fn() -> ListenerConf,
    stopping: watch::Receiver<bool>,
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
                let serving = serve_one(stream, from, conf(), stopping.clone(), handler.clone());
                connections.spawn(serving);
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

/// Ends a connection with the answer that is under way, or the first one.
///
/// Guards against a connection that a caller has just opened: closed at once, as one that is idle, it
/// would take a request with it that has arrived and was not read yet.
async fn close_after_answer<S>(
    mut connection: Pin<&mut Connection<TokioIo<TcpStream>, S>>,
    has_begun: &AtomicBool,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if !has_begun.load(Ordering::Relaxed)
        && let Ok(ended) = tokio::time::timeout(FIRST_REQUEST_WITHIN, connection.as_mut()).await
    {
        return ended;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Ends when the listener stops; never, when nobody can tell any more.
async fn stopped(stopping: &mut watch::Receiver<bool>) {
    if stopping.wait_for(|stopping| *stopping).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn serve_one<F, R>(
    stream: TcpStream,
    from: SocketAddr,
    conf: ListenerConf,
    mut stopping: watch::Receiver<bool>,
    handler: Arc<F>,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    if let Err(error) = set_options(&stream, conf.silence_ms) {
        log::debug!("listener: cannot set options, from={from} error={error}");
    }
    let is_stopping = *stopping.borrow();
    let has_begun = Arc::new(AtomicBool::new(false));
    let begun = has_begun.clone();
    let service = service_fn(move |request| {
        begun.store(true, Ordering::Relaxed);
        let answer = handler(request, from);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .header_read_timeout(Duration::from_millis(conf.idle_ms))
        .keep_alive(!is_stopping)
        .max_buf_size(conf.max_head_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = stopped(&mut stopping), if !is_stopping => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => close_after_answer(connection, &has_begun).await,
    };
    if let Err(error) = ended {
        log::debug!("listener: connection ended, from={from} error={error}");
    }
}
