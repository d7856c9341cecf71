//! Control calls to peers over cached connections.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tarpc::client::Config;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::timeout;

use super::AttemptStatus;
use super::ConfigDocument;
use super::ControlMetrics;
use super::PeerControlClient;
use super::Promise;
use super::PromiseAsk;
use super::Suspects;
use super::peer_transport;
use crate::core::AttemptId;
use crate::core::Clock;
use crate::core::FastMap;
use crate::core::Target;
use crate::core::TimeMs;
use crate::errors::PeerCallError;
use crate::membership::ExchangeRequest;

/// Connections kept; the one unused for longest goes first.
const MAX_CLIENTS: usize = 32;
/// A connection unused for so long is closed at the next call to anybody.
const IDLE_MS: u64 = 60_000;
/// How long the whole call may take, as a default.
pub const CALL_TIMEOUT_MS: u64 = 1_000;

#[derive(Clone)]
struct CachedClient {
    client: PeerControlClient,
    /// Tells connections to one address apart, so that only the failed one is dropped.
    connection: u64,
    last_used: TimeMs,
}

#[derive(Default)]
struct Cache {
    clients: FastMap<SocketAddr, CachedClient>,
    connections: u64,
}

/// Clients of peers by control address, usable from every thread.
///
/// A connection may go silent for good while new ones work. A call over a cached connection
/// therefore gets half of the time; without an answer the connection is dropped and the rest of
/// the time goes to a new one. All control calls can be repeated without harm.
pub struct PeerClients {
    runtime: Handle,
    clock: Clock,
    metrics: ControlMetrics,
    /// From which address to connect, so that peers and networks see the same one as in gossip.
    source: IpAddr,
    cache: Mutex<Cache>,
}

impl PeerClients {
    /// Clients whose connections live on `runtime` and come from `source`.
    pub fn new(runtime: Handle, clock: Clock, metrics: ControlMetrics, source: IpAddr) -> Self {
        Self {
            runtime,
            clock,
            metrics,
            source,
            cache: Mutex::new(Cache::default()),
        }
    }

    /// See [`super::PeerControl::exchange_members`].
    ///
    /// # Errors
    /// When no answer comes in [`CALL_TIMEOUT_MS`].
    pub async fn exchange_members(
        &self,
        address: SocketAddr,
        ask: ExchangeRequest,
    ) -> Result<Vec<Target>, PeerCallError> {
        self.call(address, CALL_TIMEOUT_MS, move |client, context| {
            let ask = ask.clone();
            async move { client.exchange_members(context, ask).await }
        })
        .await
    }

    /// See [`super::PeerControl::config_above`].
    ///
    /// # Errors
    /// When no answer comes in [`CALL_TIMEOUT_MS`].
    pub async fn config_above(
        &self,
        address: SocketAddr,
        above: u64,
    ) -> Result<Option<ConfigDocument>, PeerCallError> {
        self.call(
            address,
            CALL_TIMEOUT_MS,
            move |client, context| async move { client.config_above(context, above).await },
        )
        .await
    }

    /// See [`super::PeerControl::attempt_status`].
    ///
    /// # Errors
    /// When no answer comes in `timeout_ms`.
    pub async fn attempt_status(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        timeout_ms: u64,
    ) -> Result<AttemptStatus, PeerCallError> {
        self.call(address, timeout_ms, move |client, context| async move {
            client.attempt_status(context, attempt).await
        })
        .await
    }

    /// See [`super::PeerControl::promise`].
    ///
    /// # Errors
    /// When no answer comes in [`CALL_TIMEOUT_MS`].
    pub async fn promise(
        &self,
        address: SocketAddr,
        ask: PromiseAsk,
    ) -> Result<Promise, PeerCallError> {
        self.call(address, CALL_TIMEOUT_MS, move |client, context| {
            let ask = ask.clone();
            async move { client.promise(context, ask).await }
        })
        .await
    }

    /// See [`super::PeerControl::hand_over`].
    ///
    /// # Errors
    /// When no answer comes in [`CALL_TIMEOUT_MS`].
    pub async fn hand_over(
        &self,
        address: SocketAddr,
        transfer: Vec<u8>,
    ) -> Result<bool, PeerCallError> {
        self.call(address, CALL_TIMEOUT_MS, move |client, context| {
            let transfer = transfer.clone();
            async move { client.hand_over(context, transfer).await }
        })
        .await
    }

    /// See [`super::PeerControl::report_suspects`].
    ///
    /// # Errors
    /// When no answer comes in [`CALL_TIMEOUT_MS`].
    pub async fn report_suspects(
        &self,
        address: SocketAddr,
        suspects: Suspects,
    ) -> Result<(), PeerCallError> {
        self.call(address, CALL_TIMEOUT_MS, move |client, context| {
            let suspects = suspects.clone();
            async move { client.report_suspects(context, suspects).await }
        })
        .await
    }

    /// See [`super::PeerControl::node_status`].
    ///
    /// # Errors
    /// When no answer comes in [`CALL_TIMEOUT_MS`].
    pub async fn node_status(&self, address: SocketAddr) -> Result<String, PeerCallError> {
        let ask =
            |client: PeerControlClient, context| async move { client.node_status(context).await };
        self.call(address, CALL_TIMEOUT_MS, ask).await
    }

    /// See [`super::PeerControl::drain`].
    ///
    /// # Errors
    /// When no answer comes in [`CALL_TIMEOUT_MS`].
    pub async fn drain(&self, address: SocketAddr) -> Result<(), PeerCallError> {
        let ask = |client: PeerControlClient, context| async move { client.drain(context).await };
        self.call(address, CALL_TIMEOUT_MS, ask).await
    }

    /// Calls a peer, over a cached connection first and a new one when that is silent.
    ///
    /// # Errors
    /// When it cannot be reached or does not answer in `timeout_ms`.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
        ask: impl Fn(PeerControlClient, Context) -> F,
    ) -> Result<T, PeerCallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        if let Some(cached) = self.cached(address) {
            let half = Instant::now() + Duration::from_millis(timeout_ms / 2);
            match within(half, &ask, cached.client).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    log::debug!("control: drop connection peer={address} error={error}");
                    self.forget(address, cached.connection);
                }
            }
        }
        let fresh = self.connect(address, deadline).await?;
        let answer = within(deadline, &ask, fresh.client).await;
        if answer.is_err() {
            self.forget(address, fresh.connection);
        }
        answer
    }

    fn cached(&self, address: SocketAddr) -> Option<CachedClient> {
        let now = self.clock.now();
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache
            .clients
            .retain(|_, cached| now.since(cached.last_used) < IDLE_MS);
        let cached = cache.clients.get_mut(&address)?;
        cached.last_used = now;
        Some(cached.clone())
    }

    fn forget(&self, address: SocketAddr, connection: u64) {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let is_same = |cached: &CachedClient| cached.connection == connection;
        if cache.clients.get(&address).is_some_and(is_same) {
            cache.clients.remove(&address);
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<CachedClient, PeerCallError> {
        let metrics = self.metrics.clone();
        let source = self.source;
        let connecting = async move {
            let stream = timeout(left(deadline), connect_from(source, address))
                .await
                .map_err(|_| PeerCallError::Timeout)??;
            let transport = peer_transport(stream, &metrics);
            let client = PeerControlClient::new(Config::default(), transport).spawn();
            Ok::<_, PeerCallError>(client)
        };
        // The connection has to live on the control thread, whoever asks for it.
        let client = match self.runtime.spawn(connecting).await {
            Ok(connected) => connected?,
            Err(_) => return Err(PeerCallError::Stopped),
        };
        Ok(self.keep(address, client))
    }

    fn keep(&self, address: SocketAddr, client: PeerControlClient) -> CachedClient {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.connections += 1;
        let cached = CachedClient {
            client,
            connection: cache.connections,
            last_used: self.clock.now(),
        };
        cache.clients.insert(address, cached.clone());
        if cache.clients.len() > MAX_CLIENTS {
            let by_use = cache
                .clients
                .iter()
                .min_by_key(|(_, other)| other.last_used);
            if let Some(oldest) = by_use.map(|(address, _)| *address) {
                cache.clients.remove(&oldest);
            }
        }
        cached
    }
}

async fn within<T, F>(
    deadline: Instant,
    ask: &impl Fn(PeerControlClient, Context) -> F,
    client: PeerControlClient,
) -> Result<T, PeerCallError>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let mut context = tarpc::context::current();
    context.deadline = deadline;
    match timeout(left(deadline), ask(client, context)).await {
        Ok(answer) => answer.map_err(PeerCallError::from),
        Err(_) => Err(PeerCallError::Timeout),
    }
}

async fn connect_from(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if source.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(address).await
}

fn left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
