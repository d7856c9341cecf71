//! A pool of HTTP/1.1 connections, with one request at a time on each.
//!
//! It uses `hyper` without the pool of `hyper-util`, for two reasons. The cost of a request is the
//! first limit of a node's throughput, and the sender of a request has to know whether any part of
//! it has left the process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::Builder;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use crate::adapters::BodyBudget;
use crate::adapters::ConnectionWrites;
use crate::adapters::FairStream;
use crate::adapters::Transmission;
use crate::adapters::UndeliveredBytes;
use crate::adapters::WatchedStream;
use crate::adapters::keep_alive::keep_alive_ms;
use crate::adapters::whole_body::read_whole_with;
use crate::core::Clock;
use crate::core::FastMap;
use crate::core::TimeMs;
use crate::errors::SendError;

/// Idle connections kept for one address. More are needed at once only in a surge.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// The number of addresses from which those without a usable idle connection are removed before a
/// new address is added.
const MAX_ADDRESSES: usize = 2_048;
/// Maximum size of a connection's read buffer, and thus of the head of an answer, in bytes.
const MAX_BUFFER_BYTES: usize = 256 * 1024;
/// Bodies above this may not fit into the receive buffer of a server that does not read.
const LONG_BODY_BYTES: u64 = 64 * 1024;
/// Maximum number of bytes read before a part of an answer is delivered. At any time a connection
/// holds a full buffer and a part of the body of the same size that the reader has not taken yet.
const MAX_UNDELIVERED_BYTES: usize = 4 * MAX_BUFFER_BYTES;

/// Timeouts of connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolConf {
    /// How long establishing a connection may take.
    pub connect_timeout_ms: u64,
    /// How long an idle connection is kept.
    pub idle_ms: u64,
    /// A connection is closed, even with a request in flight, if sent data is not acknowledged for
    /// this long. A network that drops packets silently can be detected in no other way.
    pub silence_ms: u64,
    /// The same for requests with a body of over 64 KiB. While the server does not read such a body,
    /// its acknowledgements open no window, and the system counts that as silence too.
    pub long_body_silence_ms: u64,
}

/// An answer whose body has been read completely.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    pub status: http::StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    writes: Arc<ConnectionWrites>,
    undelivered: Arc<UndeliveredBytes>,
    /// The time-out for unacknowledged data that was set when it was opened.
    silence_ms: u64,
}

impl PooledConnection {
    /// Prepares the connection for a request.
    ///
    /// # Errors
    /// When the request was cancelled or the connection cannot be used.
    fn start_request(&self, transmission: &Transmission) -> Result<(), SendError> {
        self.undelivered.reset();
        transmission.hand_over(&self.writes)
    }
}

struct IdleConnection {
    connection: PooledConnection,
    /// The time from which the connection is not used again.
    expires_at: TimeMs,
}

/// Idle connections by address, limited in number and age.
pub struct ConnectionPool {
    conf: PoolConf,
    clock: Clock,
    bodies: Arc<BodyBudget>,
    idle: Mutex<FastMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// An empty pool. Answer bodies count against the body budget.
    pub fn new(conf: PoolConf, clock: Clock, bodies: Arc<BodyBudget>) -> Self {
        Self {
            conf,
            clock,
            bodies,
            idle: Mutex::new(FastMap::default()),
        }
    }

    /// Sends a request and reads the complete answer. If the future is dropped earlier, the
    /// connection is closed, so that the server learns that the request was cancelled.
    ///
    /// `is_reusable` examines the head of the answer and decides whether the connection may be used
    /// again.
    ///
    /// # Errors
    /// When no connection can be made, when it ends before the answer does, and when the body
    /// budget is exhausted.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        is_reusable: impl FnOnce(&Response<Incoming>) -> bool,
    ) -> Result<WholeAnswer, SendError> {
        let transmission = Transmission::default();
        self.send_tracked(address, request, &transmission, is_reusable)
            .await
    }

    /// Like [`Self::send`]. `transmission` tells whether any part of the request has left this
    /// process, also after the future was dropped.
    ///
    /// # Errors
    /// As [`Self::send`].
    pub async fn send_tracked(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        transmission: &Transmission,
        is_reusable: impl FnOnce(&Response<Incoming>) -> bool,
    ) -> Result<WholeAnswer, SendError> {
        let (connection, response) = self.send_head(address, request, transmission).await?;
        let keep = is_reusable(&response);
        let (parts, body) = response.into_parts();
        connection.undelivered.reset();
        let on_frame = || connection.undelivered.reset();
        let body = read_whole_with(body, usize::MAX, &self.bodies, on_frame).await?;
        let reusable_ms = keep_alive_ms(&parts.headers).unwrap_or(self.conf.idle_ms);
        if keep && reusable_ms > 0 && !connection.sender.is_closed() {
            self.return_idle(address, connection, reusable_ms.min(self.conf.idle_ms));
        }
        Ok(WholeAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Closes the idle connections that are not used again, and forgets addresses that have none
    /// left. Sending does so only for its own address. The connections to an address that gets no
    /// more requests would stay open until the server closes them.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, connections| {
            connections.retain(|each| !each.connection.sender.is_closed() && now < each.expires_at);
            !connections.is_empty()
        });
    }

    async fn send_head(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        transmission: &Transmission,
    ) -> Result<(PooledConnection, Response<Incoming>), SendError> {
        let silence_ms = self.silence_ms(&request);
        while let Some(mut connection) = self.take_idle(address, silence_ms) {
            connection.start_request(transmission)?;
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((connection, response)),
                Err(mut error) => match error.take_message() {
                    // The idle connection was already closed, and nothing was sent.
                    Some(unsent) => request = unsent,
                    None => return Err(lost(error.into_error(), transmission)),
                },
            }
        }
        let mut connection = self.connect(address, silence_ms).await?;
        connection.start_request(transmission)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((connection, response)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::Connect(io::ErrorKind::NotConnected.into())),
                None => Err(lost(error.into_error(), transmission)),
            },
        }
    }

    /// The time-out for unacknowledged data that a connection for this request needs.
    fn silence_ms(&self, request: &Request<Full<Bytes>>) -> u64 {
        if request.body().size_hint().lower() > LONG_BODY_BYTES {
            self.conf.long_body_silence_ms
        } else {
            self.conf.silence_ms
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        silence_ms: u64,
    ) -> Result<PooledConnection, SendError> {
        let wait = Duration::from_millis(self.conf.connect_timeout_ms);
        let stream = match tokio::time::timeout(wait, TcpStream::connect(address)).await {
            Ok(connected) => connected.map_err(SendError::Connect)?,
            Err(_) => return Err(SendError::Connect(io::ErrorKind::TimedOut.into())),
        };
        set_options(&stream, silence_ms).map_err(SendError::Connect)?;
        let writes = Arc::new(ConnectionWrites::default());
        let undelivered = Arc::new(UndeliveredBytes::new(MAX_UNDELIVERED_BYTES));
        let stream = FairStream::new(stream);
        let stream = WatchedStream::new(stream, writes.clone(), undelivered.clone());
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::Connect(io::Error::other(error)))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("pool: connection ended, address={address} error={error}");
            }
        });
        Ok(PooledConnection {
            sender,
            writes,
            undelivered,
            silence_ms,
        })
    }

    /// Takes an idle connection that has this time-out. One that is still sending its last request is
    /// skipped, because the server would read the next request as the rest of that one.
    fn take_idle(&self, address: SocketAddr, silence_ms: u64) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|each| !each.connection.sender.is_closed() && now < each.expires_at);
        let is_usable = |each: &IdleConnection| {
            each.connection.silence_ms == silence_ms && each.connection.sender.is_ready()
        };
        let ready = connections.iter().rposition(is_usable)?;
        Some(connections.swap_remove(ready).connection)
    }

    fn return_idle(&self, address: SocketAddr, connection: PooledConnection, reusable_ms: u64) {
        let now = self.clock.now();
        let expires_at = now + reusable_ms;
        let mut idle = self.lock();
        if idle.len() >= MAX_ADDRESSES && !idle.contains_key(&address) {
            idle.retain(|_, connections| connections.iter().any(|each| now < each.expires_at));
        }
        let connections = idle.entry(address).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            expires_at,
        });
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The error of a request that a connection has not returned. If the connection failed before its
/// first write for the request, nothing was sent, and nothing will be.
fn lost(error: hyper::Error, transmission: &Transmission) -> SendError {
    if transmission.cancel_unsent() {
        SendError::Unsent(error)
    } else {
        SendError::Lost(error)
    }
}

/// Sets TCP options: small messages are sent without delay, and an unresponsive peer is detected.
///
/// A connection can stop delivering packets without a reset. A request on it would then wait until
/// its deadline. To prevent this, an idle connection is probed every second and closed after two
/// failed probes, and a connection is closed if sent data is not acknowledged within `silence_ms`.
pub(super) fn set_options(stream: &TcpStream, silence_ms: u64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let second = Duration::from_secs(1);
    let keepalive = TcpKeepalive::new()
        .with_time(second)
        .with_interval(second)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(silence_ms)))
}
