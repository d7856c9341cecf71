//! A running mesh.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;

use crate::backend::BehaviourChange;
use crate::core::FastMap;
use crate::core::Name;
use crate::errors::MeshError;
use crate::mesh::AddressPlan;
use crate::mesh::Launch;
use crate::mesh::ManagedProcess;
use crate::mesh::MeshPlan;
use crate::mesh::MeshTarget;
use crate::mesh::Net;
use crate::mesh::RunSummary;
use crate::mesh::Web;
use crate::mesh::mesh_folder::MeshFolder;
use crate::mesh::mesh_target::TargetSite;
use crate::mesh::publish_presets::publish_presets;
use crate::mesh::ready::wait_ready;
use crate::mesh::ready::wait_serves;
use crate::mesh::tcp_relay::TcpRelay;
use crate::mesh::udp_relay::UdpEnd;
use crate::mesh::udp_relay::UdpEnds;
use crate::mesh::udp_relay::relay_datagrams;

/// Nodes of each failure domain that the others ask first.
const SEEDS_PER_DOMAIN: usize = 2;
/// The longest wait for everything to be up.
const READY_WAIT_MS: u64 = 15_000;
/// How much longer it may take for each target, since all start at once on one machine.
const READY_WAIT_PER_TARGET_MS: u64 = 250;

/// All processes of a mesh; they are killed when it is dropped.
pub struct Mesh {
    pub plan: MeshPlan,
    pub platform_address: SocketAddr,
    pub platform: ManagedProcess,
    pub targets: Vec<MeshTarget>,
    pub net: Arc<Net>,
    pub web: Web,
    addresses: AddressPlan,
    relays: Vec<AbortHandle>,
    folder: MeshFolder,
}

impl Mesh {
    /// Starts everything, publishes the presets, and waits until every node knows every target
    /// and the preset in force.
    ///
    /// # Errors
    /// When something cannot be started or is not ready in time.
    pub async fn start(plan: MeshPlan) -> Result<Self, MeshError> {
        let folder = MeshFolder::create()?;
        let addresses = AddressPlan::find()?;
        let mut mesh = Self {
            platform_address: addresses.platform(),
            platform: start_platform(&plan, &folder, addresses.platform())?,
            targets: Vec::new(),
            net: Arc::new(Net::new()),
            web: Web::new(),
            addresses,
            relays: Vec::new(),
            folder,
            plan,
        };
        wait_serves(
            &mesh.web,
            &mut mesh.platform,
            mesh.platform_address,
            READY_WAIT_MS,
        )
        .await?;
        publish_presets(&mesh.plan, mesh.platform_address).await?;
        if mesh.plan.relayed {
            mesh.start_relays().await?;
        }
        mesh.start_targets()?;
        let wait_ms = READY_WAIT_MS + READY_WAIT_PER_TARGET_MS * mesh.targets.len() as u64;
        wait_ready(&mesh, wait_ms).await?;
        Ok(mesh)
    }

    /// The target of a node by its name.
    ///
    /// # Panics
    /// When there is none: a test names a node that it did not plan.
    pub fn target(&self, node: &str) -> &MeshTarget {
        let found = self.targets.iter().find(|target| &*target.name == node);
        found.unwrap_or_else(|| panic!("there is no node {node}"))
    }

    /// The target of a node by its name, to change it.
    ///
    /// # Panics
    /// When there is none: a test names a node that it did not plan.
    pub fn target_mut(&mut self, node: &str) -> &mut MeshTarget {
        let mut targets = self.targets.iter_mut();
        let found = targets.find(|target| &*target.name == node);
        found.unwrap_or_else(|| panic!("there is no node {node}"))
    }

    /// All targets of a service.
    pub fn targets_of(&self, service: &str) -> Vec<&MeshTarget> {
        let targets = self.targets.iter();
        targets
            .filter(|target| &*target.service == service)
            .collect()
    }

    /// Where callers may send requests: every node.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let targets = self.targets.iter();
        targets.map(|target| target.addresses.caller).collect()
    }

    /// Changes the behaviour of all backend servers of a service.
    ///
    /// # Errors
    /// When one of them does not answer.
    pub async fn behave(&self, service: &str, change: &BehaviourChange) -> Result<(), MeshError> {
        for target in self.targets_of(service) {
            let uri = target.backend_uri("/behave");
            self.web.post_json(&uri, change).await?;
        }
        Ok(())
    }

    /// Adds a fault of the platform that begins at once; see docs/TABLE_SERVICE.md.
    ///
    /// # Errors
    /// When the platform does not answer.
    pub async fn add_platform_fault(&self, step: &serde_json::Value) -> Result<(), MeshError> {
        let uri = format!("http://{}/fault", self.platform_address);
        self.web.post_json(&uri, step).await.map(drop)
    }

    /// Ends all faults of the platform.
    ///
    /// # Errors
    /// When the platform does not answer.
    pub async fn clear_platform_faults(&self) -> Result<(), MeshError> {
        let uri = format!("http://{}/fault", self.platform_address);
        let end = self
            .web
            .send(http::Method::DELETE, &uri, &[], bytes::Bytes::new());
        end.await.map(drop)
    }

    /// Cuts a failure domain off from the other failure domains, and from the platform as well if
    /// `platform_too`.
    ///
    /// # Errors
    /// When the platform does not answer.
    pub async fn cut_off(&self, domain: &Name, platform_too: bool) -> Result<(), MeshError> {
        self.net.cut_off(domain, &self.plan.domains());
        if platform_too {
            let step = serde_json::json!({ "cut_off_domains": [domain] });
            self.add_platform_fault(&step).await?;
        }
        Ok(())
    }

    /// Ends all cuts and all faults of the platform.
    ///
    /// # Errors
    /// When the platform does not answer.
    pub async fn heal(&self) -> Result<(), MeshError> {
        self.net.heal();
        self.clear_platform_faults().await
    }

    /// What all backend servers ran so far, crashed ones included.
    pub fn runs(&self) -> RunSummary {
        let mut summary = RunSummary::default();
        for target in &self.targets {
            summary.add(&target.service, &target.run_events());
        }
        summary
    }

    /// Waits until every node that runs knows every target that runs.
    ///
    /// # Errors
    /// When it takes longer than `wait_ms`.
    pub async fn wait_ready(&self, wait_ms: u64) -> Result<(), MeshError> {
        wait_ready(self, wait_ms).await
    }

    /// The folder of its settings and logs.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    fn start_targets(&mut self) -> Result<(), MeshError> {
        let site = TargetSite {
            seeds: self.seeds(),
            plan: &self.plan,
            folder: self.folder.path(),
            platform: self.platform_address,
        };
        for (index, target) in self.plan.targets.iter().enumerate() {
            let started = MeshTarget::start(&site, target, self.addresses.node(index))?;
            self.targets.push(started);
        }
        Ok(())
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let mut seeds = Vec::new();
        for domain in self.plan.domains() {
            let targets = self.plan.targets.iter().enumerate();
            let of_domain = targets.filter(|(_, target)| target.domain == domain);
            for (index, _) in of_domain.take(SEEDS_PER_DOMAIN) {
                let node = self.addresses.node(index);
                seeds.push(match self.plan.relayed {
                    true => node.relayed_control,
                    false => node.control,
                });
            }
        }
        seeds
    }

    async fn start_relays(&mut self) -> Result<(), MeshError> {
        let domains = Arc::new(self.domains_by_address());
        let mut ends = FastMap::default();
        for (index, target) in self.plan.targets.clone().iter().enumerate() {
            let node = self.addresses.node(index);
            let relay = |kind: &str, listen, real| TcpRelay {
                net: self.net.clone(),
                link: Name::from(format!("{kind}:{}", target.node)),
                listen,
                target: real,
                target_domain: target.domain.clone(),
                domains: domains.clone(),
            };
            let control = relay("control", node.relayed_control, node.control);
            let peer = relay("peer", node.relayed_peer, node.peer);
            let backend = relay("backend", node.relayed_backend, node.backend);
            let end = udp_end(&control).await?;
            ends.insert(end.real, end);
            for relay in [control, peer, backend] {
                self.start_tcp_relay(relay).await?;
            }
        }
        self.start_udp_relays(Arc::new(ends));
        Ok(())
    }

    async fn start_tcp_relay(&mut self, relay: TcpRelay) -> Result<(), MeshError> {
        let address = relay.listen;
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| MeshError::Relay { address, source })?;
        let task = tokio::spawn(relay.run(listener));
        self.relays.push(task.abort_handle());
        Ok(())
    }

    fn start_udp_relays(&mut self, ends: UdpEnds) {
        for real in ends.keys() {
            let relay = relay_datagrams(ends.clone(), *real, self.net.follow());
            self.relays.push(tokio::spawn(relay).abort_handle());
        }
    }

    fn domains_by_address(&self) -> FastMap<std::net::IpAddr, Name> {
        let targets = self.plan.targets.iter().enumerate();
        targets
            .map(|(index, target)| (self.addresses.node(index).peer.ip(), target.domain.clone()))
            .collect()
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.relays.iter().for_each(AbortHandle::abort);
        // Killed all at once, so that the last ones do not spend time on missing the first ones.
        for target in &mut self.targets {
            target.kill();
        }
        self.platform.kill();
    }
}

async fn udp_end(control: &TcpRelay) -> Result<UdpEnd, MeshError> {
    let address = control.listen;
    let socket = UdpSocket::bind(address).await;
    Ok(UdpEnd {
        link: control.link.clone(),
        domain: control.target_domain.clone(),
        real: control.target,
        socket: socket.map_err(|source| MeshError::Relay { address, source })?,
    })
}

fn start_platform(
    plan: &MeshPlan,
    folder: &MeshFolder,
    address: SocketAddr,
) -> Result<ManagedProcess, MeshError> {
    ManagedProcess::start(Launch {
        name: Name::from("platform"),
        program: plan.binaries.platform.clone(),
        arguments: vec!["--listen".to_string(), address.to_string()],
        environment: Vec::new(),
        log: folder.path().join("platform.log"),
    })
}
