//! Kept HTTP/1.1 connections, one request at a time on each.
//!
//! `hyper` without the pool of `hyper-util`: what a request costs is the first limit of a node, and
//! the sender of a request has to know whether anything of it has left the process.

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
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::Builder;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use crate::adapters::BodyBudget;
use crate::adapters::kept_for::kept_for_ms;
use crate::adapters::read_whole;
use crate::core::Clock;
use crate::core::FastMap;
use crate::core::TimeMs;
use crate::errors::SendError;

/// Unused connections kept for one address. More than this were needed at once only in a surge.
const MOST_IDLE: usize = 64;
/// Addresses for which unused connections are kept.
const MOST_ADDRESSES: usize = 2_048;

/// How connections are made and kept.
#[derive(Clone, Copy, Debug)]
pub struct PoolConf {
    /// How long a new connection may take.
    pub connect_timeout_ms: u64,
    /// How long an unused connection is kept.
    pub idle_ms: u64,
    /// Nothing acknowledged for so long ends a connection, with requests on it as well. A network
    /// that drops packets without a word shows in nothing else.
    pub silence_ms: u64,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    pub status: http::StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    /// From then on it is not used again.
    until: TimeMs,
}

/// Connections by address. Bounded in number and in time.
pub struct ConnectionPool {
    conf: PoolConf,
    clock: Clock,
    bodies: Arc<BodyBudget>,
    idle: Mutex<FastMap<SocketAddr, Vec<Idle>>>,
}

impl ConnectionPool {
    /// An empty pool whose answers count against the budget of bodies.
    pub fn new(conf: PoolConf, clock: Clock, bodies: Arc<BodyBudget>) -> Self {
        Self {
            conf,
            clock,
            bodies,
            idle: Mutex::new(FastMap::default()),
        }
    }

    /// Sends a request and reads the whole answer. Dropped before its end, it closes the
    /// connection, so that the other side learns that nobody waits any more.
    ///
    /// `is_sound` looks at the head of the answer; a connection whose answer is not is not used
    /// again.
    ///
    /// # Errors
    /// When no connection can be made, and when it ends before the answer does.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        is_sound: impl FnOnce(&Response<Incoming>) -> bool,
    ) -> Result<WholeAnswer, SendError> {
        let (sender, response) = self.send_head(address, request).await?;
        let keep = is_sound(&response);
        let (parts, body) = response.into_parts();
        let body = read_whole(body, usize::MAX, &self.bodies).await?;
        let kept_ms = kept_for_ms(&parts.headers).unwrap_or(self.conf.idle_ms);
        if keep && kept_ms > 0 && !sender.is_closed() {
            self.give_back(address, sender, kept_ms.min(self.conf.idle_ms));
        }
        Ok(WholeAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    async fn send_head(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(SendRequest<Full<Bytes>>, Response<Incoming>), SendError> {
        while let Some(mut sender) = self.take_idle(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, response)),
                Err(mut error) => match error.take_message() {
                    // The kept connection turned out to be closed, and nothing was sent.
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Lost(error.into_error())),
                },
            }
        }
        let mut sender = self.connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((sender, response)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::Connect(io::ErrorKind::NotConnected.into())),
                None => Err(SendError::Lost(error.into_error())),
            },
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let wait = Duration::from_millis(self.conf.connect_timeout_ms);
        let stream = match tokio::time::timeout(wait, TcpStream::connect(address)).await {
            Ok(connected) => connected.map_err(SendError::Connect)?,
            Err(_) => return Err(SendError::Connect(io::ErrorKind::TimedOut.into())),
        };
        set_options(&stream, self.conf.silence_ms).map_err(SendError::Connect)?;
        let (sender, connection) = Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::Connect(io::Error::other(error)))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("pool: connection ended, address={address} error={error}");
            }
        });
        Ok(sender)
    }

    /// A connection that is still sending its last request is passed over: what followed would stand
    /// where the rest of that request is due.
    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        kept.retain(|each| !each.sender.is_closed() && now < each.until);
        let ready = kept.iter().rposition(|each| each.sender.is_ready())?;
        Some(kept.swap_remove(ready).sender)
    }

    fn give_back(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>, kept_ms: u64) {
        let now = self.clock.now();
        let until = now + kept_ms;
        let mut idle = self.lock();
        if idle.len() >= MOST_ADDRESSES && !idle.contains_key(&address) {
            idle.retain(|_, kept| kept.iter().any(|each| now < each.until));
        }
        let kept = idle.entry(address).or_default();
        if kept.len() >= MOST_IDLE {
            kept.remove(0);
        }
        kept.push(Idle { sender, until });
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Small messages go out at once, and a connection on which nothing is acknowledged ends.
///
/// Guards against connections that go silent for good, without a reset: a request on one would be
/// waited for until its deadline. It holds because a connection on which nothing comes is probed each
/// second, twice, and sent data that is not acknowledged in time ends it.
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
