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
use super::PromiseRequest;
use super::Suspects;
use super::peer_transport;
use crate::core::AttemptId;
use crate::core::Clock;
use crate::core::FastMap;
use crate::core::Target;
use crate::core::TimeMs;
use crate::errors::PeerCallError;
use crate::membership::ExchangeRequest;

/// The largest number of cached connections. Beyond it the least recently used one is dropped.
const MAX_CONNECTIONS: usize = 32;
/// A connection unused for this long is closed at the next call to any peer.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// The default timeout of a whole call.
pub const CALL_TIMEOUT_MS: u64 = 1_000;

#[derive(Clone)]
struct CachedClient {
    client: PeerControlClient,
    /// Distinguishes connections to one address, so that only the failed one is dropped.
    connection_id: u64,
    last_used: TimeMs,
}

#[derive(Default)]
struct Cache {
    clients: FastMap<SocketAddr, CachedClient>,
    last_connection_id: u64,
}

/// Clients of peers by control address, usable from every thread.
///
/// A connection may stop answering for good while new connections to the same peer work. A call
/// over a cached connection therefore gets half of its timeout. Without an answer the connection is
/// dropped, and the call is sent again over a new one for the rest of the time. All control calls
/// are idempotent.
pub struct PeerClients {
    runtime: Handle,
    clock: Clock,
    metrics: ControlMetrics,
    /// The local address of connections, so that peers and networks see the same one as in gossip.
    source: IpAddr,
    cache: Mutex<Cache>,
}

impl PeerClients {
    /// Creates clients whose connections are driven by `runtime` and come from `source`.
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
        request: ExchangeRequest,
    ) -> Result<Vec<Target>, PeerCallError> {
        self.call(address, CALL_TIMEOUT_MS, move |client, context| {
            let request = request.clone();
            async move { client.exchange_members(context, request).await }
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
        request: PromiseRequest,
    ) -> Result<Promise, PeerCallError> {
        self.call(address, CALL_TIMEOUT_MS, move |client, context| {
            let request = request.clone();
            async move { client.promise(context, request).await }
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
        let request =
            |client: PeerControlClient, context| async move { client.node_status(context).await };
        self.call(address, CALL_TIMEOUT_MS, request).await
    }

    /// See [`super::PeerControl::drain`].
    ///
    /// # Errors
    /// When no answer comes in [`CALL_TIMEOUT_MS`].
    pub async fn drain(&self, address: SocketAddr) -> Result<(), PeerCallError> {
        let request =
            |client: PeerControlClient, context| async move { client.drain(context).await };
        self.call(address, CALL_TIMEOUT_MS, request).await
    }

    /// Calls a peer over a cached connection, and over a new one if that does not answer.
    ///
    /// # Errors
    /// When it cannot be reached or does not answer in `timeout_ms`.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
        request: impl Fn(PeerControlClient, Context) -> F,
    ) -> Result<T, PeerCallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        if let Some(cached) = self.cached(address) {
            let first_deadline = Instant::now() + Duration::from_millis(timeout_ms / 2);
            match call_until(first_deadline, &request, cached.client).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    log::debug!(
                        "control: dropping a failed connection peer={address} error={error}"
                    );
                    self.drop_connection(address, cached.connection_id);
                }
            }
        }
        let fresh = self.connect(address, deadline).await?;
        let answer = call_until(deadline, &request, fresh.client).await;
        if answer.is_err() {
            self.drop_connection(address, fresh.connection_id);
        }
        answer
    }

    fn cached(&self, address: SocketAddr) -> Option<CachedClient> {
        let now = self.clock.now();
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache
            .clients
            .retain(|_, cached| now.since(cached.last_used) < IDLE_TIMEOUT_MS);
        let cached = cache.clients.get_mut(&address)?;
        cached.last_used = now;
        Some(cached.clone())
    }

    fn drop_connection(&self, address: SocketAddr, connection_id: u64) {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let is_same = |cached: &CachedClient| cached.connection_id == connection_id;
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
            let stream = timeout(time_left(deadline), connect_from(source, address))
                .await
                .map_err(|_| PeerCallError::Timeout)??;
            let transport = peer_transport(stream, &metrics);
            let client = PeerControlClient::new(Config::default(), transport).spawn();
            Ok::<_, PeerCallError>(client)
        };
        // The connection has to run on the control thread, whichever thread calls.
        let client = match self.runtime.spawn(connecting).await {
            Ok(connected) => connected?,
            Err(_) => return Err(PeerCallError::Stopped),
        };
        Ok(self.cache_client(address, client))
    }

    fn cache_client(&self, address: SocketAddr, client: PeerControlClient) -> CachedClient {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.last_connection_id += 1;
        let cached = CachedClient {
            client,
            connection_id: cache.last_connection_id,
            last_used: self.clock.now(),
        };
        cache.clients.insert(address, cached.clone());
        if cache.clients.len() > MAX_CONNECTIONS {
            let least_recent = cache
                .clients
                .iter()
                .min_by_key(|(_, other)| other.last_used);
            if let Some(oldest) = least_recent.map(|(address, _)| *address) {
                cache.clients.remove(&oldest);
            }
        }
        cached
    }
}

async fn call_until<T, F>(
    deadline: Instant,
    request: &impl Fn(PeerControlClient, Context) -> F,
    client: PeerControlClient,
) -> Result<T, PeerCallError>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let mut context = tarpc::context::current();
    context.deadline = deadline;
    match timeout(time_left(deadline), request(client, context)).await {
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

fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
