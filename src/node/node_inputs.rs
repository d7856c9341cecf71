//! What joins the data path to the control thread.

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

/// Asks the node with this control address what became of an attempt.
pub type AskAttempt = Arc<
    dyn Fn(SocketAddr, AttemptId) -> BoxFuture<'static, Result<AttemptStatus, PeerCallError>>
        + Send
        + Sync,
>;

/// Takes the news that the node with this control address has a version in force.
pub type RecordPeerConfig = Arc<dyn Fn(SocketAddr, u64) + Send + Sync>;

/// Tells the node with this control address what was running at a crash.
pub type ReportSuspects =
    Arc<dyn Fn(SocketAddr, &Suspects) -> BoxFuture<'static, ()> + Send + Sync>;

/// What the control thread publishes, what it reads, and what both sides use.
#[derive(Clone)]
pub struct NodeInputs {
    pub clock: Clock,
    pub metrics: Arc<Metrics>,
    pub view: Arc<Published<View>>,
    /// `None` until a first configuration is known.
    pub in_force: Arc<Published<Option<InForce>>>,
    /// The local backend server as it announced itself; the control thread watches it.
    pub local: watch::Sender<LocalBackend>,
    /// The attempts of this guard, of which other nodes ask.
    pub attempts: Arc<Attempts>,
    /// The slots and the ledger of this guard; without them no call with a key is run.
    pub claims: Option<Arc<Claims>>,
    /// Suspects of having crashed backend servers of the local service.
    pub poison: Arc<PoisonGuard>,
    pub report_suspects: ReportSuspects,
    pub ask_attempt: AskAttempt,
    pub record_peer_config: RecordPeerConfig,
    pub operations: PeerOperations,
}

impl NodeInputs {
    /// Inputs that know nothing yet and reach nobody.
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
            ask_attempt: Arc::new(|_, _| ready(Err(PeerCallError::Stopped)).boxed()),
        }
    }
}
