//! Connects the configuration to the control thread and to the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;

use crate::conf::NodeSettings;
use crate::configuration::ConfigMetrics;
use crate::configuration::ConfigPorts;
use crate::configuration::ConfigShared;
use crate::configuration::ConfigStore;
use crate::configuration::ConfigTask;
use crate::configuration::PeerAnswer;
use crate::configuration::is_poller;
use crate::control::ControlHandle;
use crate::core::View;
use crate::node::NodeInputs;
use crate::table_service::PlatformClient;

/// How long a poll may wait for an answer of the platform, in milliseconds. It is longer than for
/// other requests, so that a slow platform delays a change by its own slowness and not by time-outs
/// as well.
const POLL_TIMEOUT_MS: u64 = 2_500;

/// The configuration of a node before its control thread runs.
pub(super) struct JoinedConfiguration {
    pub(super) shared: Arc<ConfigShared>,
    updates: tokio::sync::mpsc::Receiver<crate::configuration::NewerConfig>,
}

impl JoinedConfiguration {
    /// # Errors
    /// When its metrics are already registered.
    pub(super) fn new(inputs: &NodeInputs) -> Result<Self, prometheus::Error> {
        let metrics = ConfigMetrics::new(inputs.metrics.registry())?;
        let (shared, updates) = ConfigShared::new(inputs.in_force.clone(), metrics);
        Ok(Self { shared, updates })
    }

    /// Starts the task on the control thread.
    pub(super) fn start(
        self,
        settings: &NodeSettings,
        inputs: &NodeInputs,
        control: &Arc<ControlHandle>,
    ) {
        let task = ConfigTask {
            shared: self.shared,
            updates: self.updates,
            ports: ports(settings, control),
            clock: inputs.clock,
            poll_ms: settings.config_poll_ms,
        };
        control.runtime.spawn(task.run());
    }
}

fn ports(settings: &NodeSettings, control: &Arc<ControlHandle>) -> ConfigPorts {
    let platform = settings.platform_address;
    let client = PlatformClient::new(platform, settings.domain.clone(), POLL_TIMEOUT_MS);
    let store = ConfigStore::new(client);
    let clients = control.clients.clone();
    let view = control.view.clone();
    let pollers_view = control.view.clone();
    let node = settings.node.clone();
    let domain = settings.domain.clone();
    let first = settings.clone();
    // A weak reference, since the task runs on the control thread, which the handle stops.
    let announcer = Arc::downgrade(control);
    ConfigPorts {
        poll: Arc::new(move |above| {
            let store = store.clone();
            async move { store.newer_than(above).await }.boxed()
        }),
        query_peer: Arc::new(move |peer, above| {
            let clients = clients.clone();
            async move {
                match clients.config_above(peer, above).await {
                    Ok(Some(document)) => PeerAnswer::Newer(document),
                    Ok(None) => PeerAnswer::NothingNewer,
                    Err(_) => PeerAnswer::NoAnswer,
                }
            }
            .boxed()
        }),
        is_poller: Arc::new(move || is_poller(&pollers_view.load(), &node, &domain)),
        initial_peers: Arc::new(move || initial_peers(&view.load(), &first)),
        announce: Arc::new(move |version| {
            if let Some(control) = announcer.upgrade() {
                control.set_config_version(version);
            }
        }),
    }
}

/// Lists peers to query at start. Peers of the own failure domain come first, since they have the
/// versions that this node had before a restart. The seeds follow, some of which are in the own
/// domain, and then all others.
fn initial_peers(view: &View, settings: &NodeSettings) -> Vec<SocketAddr> {
    let of_domain = |own: bool| {
        let nodes = view.nodes.values();
        let nodes = nodes.filter(move |other| (other.domain == settings.domain) == own);
        nodes.map(|other| other.control_address)
    };
    let seeds = settings.seeds.iter().copied();
    let mut peers: Vec<SocketAddr> = Vec::new();
    for peer in of_domain(true).chain(seeds).chain(of_domain(false)) {
        if peer != settings.control_advertised_address && !peers.contains(&peer) {
            peers.push(peer);
        }
    }
    peers
}
