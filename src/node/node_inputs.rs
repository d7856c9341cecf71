//! The interface between the data path and the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::ready;
use tokio::sync::watch;

use crate::claims::Claims;
use crate::control::AttemptStatus;
use crate::control::Suspects;
use crate::core::AttemptId;
use crate::core::Clock;
use crate::core::Published;
use crate::core::View;
use crate::errors::PeerCallError;
use crate::metrics::Metrics;
use crate::node::Attempts;
use crate::node::LocalBackend;
use crate::node::PeerOperations;
use crate::node::PoisonGuard;
use crate::preset::InForce;

/// Queries the node with this control address for the outcome of an attempt.
pub type QueryAttempt = Arc<
    dyn Fn(SocketAddr, AttemptId) -> BoxFuture<'static, Result<AttemptStatus, PeerCallError>>
        + Send
        + Sync,
>;

/// Records that the node with this control address has a configuration version in force.
pub type RecordPeerConfig = Arc<dyn Fn(SocketAddr, u64) + Send + Sync>;

/// Reports the requests that were running at a crash to the node with this control address.
pub type ReportSuspects =
    Arc<dyn Fn(SocketAddr, &Suspects) -> BoxFuture<'static, ()> + Send + Sync>;

/// What the control thread publishes and reads, and what both sides use.
#[derive(Clone)]
pub struct NodeInputs {
    pub clock: Clock,
    pub metrics: Arc<Metrics>,
    pub view: Arc<Published<View>>,
    /// `None` until a first configuration is known.
    pub in_force: Arc<Published<Option<InForce>>>,
    /// The state of the local backend server, watched by the control thread.
    pub local: watch::Sender<LocalBackend>,
    /// The attempts of this guard, which other nodes query.
    pub attempts: Arc<Attempts>,
    /// The slots and the ledger of this guard. Without them no keyed call is run.
    pub claims: Option<Arc<Claims>>,
    /// Requests suspected of crashing backend servers of the local service.
    pub poison: Arc<PoisonGuard>,
    pub report_suspects: ReportSuspects,
    pub query_attempt: QueryAttempt,
    pub record_peer_config: RecordPeerConfig,
    pub operations: PeerOperations,
}

impl NodeInputs {
    /// Empty inputs that reach no other node.
    pub fn empty() -> Self {
        Self {
            clock: Clock::new(),
            metrics: Arc::new(Metrics::new()),
            view: Arc::new(Published::from_pointee(View::default())),
            in_force: Arc::new(Published::from_pointee(None)),
            local: watch::Sender::new(LocalBackend::default()),
            attempts: Arc::new(Attempts::default()),
            poison: Arc::new(PoisonGuard::new()),
            report_suspects: Arc::new(|_, _| ready(()).boxed()),
            record_peer_config: Arc::new(|_, _| {}),
            operations: PeerOperations::none(),
            claims: None,
            query_attempt: Arc::new(|_, _| ready(Err(PeerCallError::Stopped)).boxed()),
        }
    }
}
