//! A complete node: the data path connected to its control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::Weak;

use futures::FutureExt;
use futures::future::ready;
use tokio::sync::watch;

use crate::conf::NodeSettings;
use crate::configuration::ConfigShared;
use crate::control;
use crate::control::ControlHandle;
use crate::control::ControlHandlers;
use crate::control::ControlMetrics;
use crate::control::ControlSettings;
use crate::control::Suspects;
use crate::core::TimeMs;
use crate::errors::NodeError;
use crate::node::Announcement;
use crate::node::Listeners;
use crate::node::LocalBackend;
use crate::node::Node;
use crate::node::NodeInputs;
use crate::node::PeerOperations;
use crate::node::PoisonGuard;
use crate::node::QueryAttempt;
use crate::node::RecordPeerConfig;
use crate::node::ReportSuspects;
use crate::node::RunningNode;
use crate::node::Status;
use crate::node::join_claims::new_claims;
use crate::node::join_claims::start_claims;
use crate::node::join_configuration::JoinedConfiguration;
use crate::table_service::PlatformClient;

/// How long one query for an attempt may take, in milliseconds.
const ATTEMPT_QUERY_TIMEOUT_MS: u64 = 400;

/// A node with its control thread.
pub struct NodeProcess {
    pub running: RunningNode,
    pub control: Arc<ControlHandle>,
}

impl NodeProcess {
    /// Opens the listeners, starts the control thread and serves.
    ///
    /// # Errors
    /// When an address cannot be bound or the control thread cannot be started.
    pub async fn start(settings: NodeSettings, mut inputs: NodeInputs) -> Result<Self, NodeError> {
        let listeners = Listeners::open(&settings).await?;
        let peer_address = advertised(settings.peer_advertised_address, listeners.peers.address);
        let control_settings = ControlSettings::new(&settings, peer_address, inputs.clock);
        let metrics = ControlMetrics::new(inputs.metrics.registry())?;
        let configuration = JoinedConfiguration::new(&inputs)?;
        let served = Arc::new(OnceLock::new());
        let mut handlers = handlers(&inputs, &configuration.shared);
        add_operator_handlers(&mut handlers, &served);
        let claims = new_claims(&settings, &inputs, listeners.peers.address);
        claims.attach(&mut handlers);
        let control = control::start(control_settings, handlers, metrics)?;
        let control = Arc::new(control);
        inputs.record_peer_config = record_peer_config(&configuration.shared);
        configuration.start(&settings, &inputs, &control);
        inputs.operations = PeerOperations::over(&control.clients);
        if settings.control_enabled {
            let platform = PlatformClient::new(
                settings.platform_address,
                settings.domain.clone(),
                settings.platform_timeout_ms,
            );
            start_claims(claims.clone(), &inputs, &control, platform);
            inputs.claims = Some(claims);
        }
        inputs.view = control.view.clone();
        inputs.query_attempt = query_attempt(&control);
        inputs.report_suspects = report_suspects(&control);
        control
            .runtime
            .spawn(announce(control.clone(), inputs.local.subscribe()));
        let running = RunningNode::serve(listeners, settings, inputs);
        served.get_or_init(|| Arc::downgrade(&running.node));
        Ok(Self { running, control })
    }
}

/// The address to advertise to other nodes. The bound port replaces port 0.
fn advertised(address: SocketAddr, bound: SocketAddr) -> SocketAddr {
    if address.port() == 0 {
        return SocketAddr::new(address.ip(), bound.port());
    }
    address
}

fn handlers(inputs: &NodeInputs, configuration: &Arc<ConfigShared>) -> ControlHandlers {
    let attempts = inputs.attempts.clone();
    let clock = inputs.clock;
    let poison = inputs.poison.clone();
    let local = inputs.local.clone();
    let queried = configuration.clone();
    let notified = configuration.clone();
    ControlHandlers {
        report_suspects: Arc::new(move |suspects| {
            merge_suspects(&poison, &local, clock.now(), &suspects)
        }),
        config_above: Arc::new(move |above| queried.document_above(above)),
        newer_config: Arc::new(move |from, version, _| notified.record_peer_version(from, version)),
        attempt_status: Arc::new(move |attempt| {
            let status = attempts.status(clock.now(), attempt);
            ready(status).boxed()
        }),
        ..ControlHandlers::default()
    }
}

fn report_suspects(control: &ControlHandle) -> ReportSuspects {
    let clients = control.clients.clone();
    Arc::new(move |address, suspects| {
        let clients = clients.clone();
        let suspects = suspects.clone();
        let report = async move {
            if let Err(error) = clients.report_suspects(address, suspects).await {
                log::warn!("poison: crash report not delivered, peer={address} error={error}");
            }
        };
        report.boxed()
    })
}

fn record_peer_config(configuration: &Arc<ConfigShared>) -> RecordPeerConfig {
    let configuration = configuration.clone();
    Arc::new(move |from, version| configuration.record_peer_version(from, version))
}

/// Handles requests that operators make through another node. The node is available only after its
/// control thread has started, so the status is empty until then.
fn add_operator_handlers(handlers: &mut ControlHandlers, served: &Arc<OnceLock<Weak<Node>>>) {
    let queried = served.clone();
    handlers.node_status = Arc::new(move || {
        let node = queried.get().and_then(Weak::upgrade);
        let status = node.map(|node| serde_json::to_string(&Status::without_members(&node)));
        status.and_then(Result::ok).unwrap_or_default()
    });
    let notified = served.clone();
    handlers.drain = Arc::new(move || {
        if let Some(node) = notified.get().and_then(Weak::upgrade) {
            log::info!("node: draining at the request of an operator at another node");
            node.drain();
        }
    });
}

fn query_attempt(control: &ControlHandle) -> QueryAttempt {
    let clients = control.clients.clone();
    Arc::new(move |address, attempt| {
        let clients = clients.clone();
        let query = async move {
            clients
                .attempt_status(address, attempt, ATTEMPT_QUERY_TIMEOUT_MS)
                .await
        };
        query.boxed()
    })
}

/// Merges a crash report, unless it is about another service than the local one.
fn merge_suspects(
    poison: &PoisonGuard,
    local: &watch::Sender<LocalBackend>,
    now: TimeMs,
    suspects: &Suspects,
) {
    let local = local.borrow();
    let is_ours = |announced: &Announcement| announced.service == suspects.service;
    if local.announced.as_ref().is_some_and(is_ours) {
        poison.merge(now, suspects);
    }
}

/// Publishes each state change of the local backend server to all members.
async fn announce(control: Arc<ControlHandle>, mut local: watch::Receiver<LocalBackend>) {
    loop {
        let state = local.borrow_and_update().clone();
        match &state.announced {
            Some(announced) => control.announce(&announced.service, announced.slots, state.state()),
            None => control.set_state(state.state()),
        }
        if local.changed().await.is_err() {
            return;
        }
    }
}
