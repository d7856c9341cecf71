//! Joins the configuration to the control thread and to the platform.

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
use crate::core::Name;
use crate::core::Target;
use crate::node::NodeInputs;
use crate::platform::PlatformClient;

/// The configuration of a node, before its control thread runs.
pub(super) struct JoinedConfiguration {
    pub(super) shared: Arc<ConfigShared>,
    news: tokio::sync::mpsc::Receiver<crate::configuration::ConfigNews>,
}

impl JoinedConfiguration {
    /// # Errors
    /// When its metrics are registered already.
    pub(super) fn new(inputs: &NodeInputs) -> Result<Self, prometheus::Error> {
        let metrics = ConfigMetrics::new(inputs.metrics.registry())?;
        let (shared, news) = ConfigShared::new(inputs.in_force.clone(), metrics);
        Ok(Self { shared, news })
    }

    /// Starts the task on the control thread.
    pub(super) fn start(
        self,
        settings: &NodeSettings,
        inputs: &NodeInputs,
        control: &Arc<ControlHandle>,
        platform: PlatformClient,
    ) {
        let task = ConfigTask {
            shared: self.shared,
            news: self.news,
            ports: ports(settings, control, platform),
            clock: inputs.clock,
            poll_ms: settings.config_poll_ms,
        };
        control.runtime.spawn(task.run());
    }
}

fn ports(
    settings: &NodeSettings,
    control: &Arc<ControlHandle>,
    platform: PlatformClient,
) -> ConfigPorts {
    let store = ConfigStore::new(platform);
    let clients = control.clients.clone();
    let view = control.view.clone();
    let pollers_view = control.view.clone();
    let node = settings.node.clone();
    let domain = settings.domain.clone();
    let own = (node.clone(), domain.clone());
    let seeds = settings.seeds.clone();
    // Held weakly: the task lives on the control thread, which the handle ends.
    let announcer = Arc::downgrade(control);
    ConfigPorts {
        poll: Arc::new(move |above| {
            let store = store.clone();
            async move { store.newer_than(above).await }.boxed()
        }),
        ask_peer: Arc::new(move |peer, above| {
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
        first_peers: Arc::new(move || {
            let view = view.load();
            let peers = first_peers(view.nodes.values(), &own);
            if peers.is_empty() {
                seeds.clone()
            } else {
                peers
            }
        }),
        announce: Arc::new(move |version| {
            if let Some(control) = announcer.upgrade() {
                control.set_config_version(version);
            }
        }),
    }
}

/// Peers of the own failure domain first: they knew what this node knew before a restart.
fn first_peers<'a>(
    nodes: impl Iterator<Item = &'a Arc<Target>>,
    own: &(Name, Name),
) -> Vec<std::net::SocketAddr> {
    let (node, domain) = own;
    let mut others: Vec<&Arc<Target>> = nodes.filter(|other| other.node != *node).collect();
    others.sort_by_key(|other| (other.domain != *domain, other.node.clone()));
    others.iter().map(|other| other.control_address).collect()
}
