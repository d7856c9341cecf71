//! Nodes in one process, with closures as backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::ready;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use log::LevelFilter;
use tokio::task::JoinSet;

use sassafrasgap::adapters::Body;
use sassafrasgap::adapters::HttpClient;
use sassafrasgap::adapters::bind;
use sassafrasgap::adapters::full_body;
use sassafrasgap::adapters::http_client;
use sassafrasgap::adapters::serve;
use sassafrasgap::claims::Claims;
use sassafrasgap::claims::ClaimsSettings;
use sassafrasgap::claims::HeldSlot;
use sassafrasgap::claims::LeaseConf;
use sassafrasgap::claims::Ledger;
use sassafrasgap::claims::LedgerBounds;
use sassafrasgap::claims::OtherOwner;
use sassafrasgap::claims::ResendLimits;
use sassafrasgap::claims::SLOT_COUNT;
use sassafrasgap::claims::SharedLedger;
use sassafrasgap::claims::SlotLease;
use sassafrasgap::conf::NodeSettings;
use sassafrasgap::core::Clock;
use sassafrasgap::core::FastMap;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::TimeMs;
use sassafrasgap::core::View;
use sassafrasgap::errors::PeerCallError;
use sassafrasgap::node::Announcement;
use sassafrasgap::node::Attempts;
use sassafrasgap::node::NodeInputs;
use sassafrasgap::node::QueryAttempt;
use sassafrasgap::node::RunningNode;
use sassafrasgap::preset::ClassPolicy;
use sassafrasgap::preset::InForce;
use sassafrasgap::preset::Preset;

/// Nodes with one backend server each. Each node has all others in its view.
pub struct TestMesh {
    pub nodes: Vec<RunningNode>,
    pub client: HttpClient,
    targets: Vec<Target>,
    /// Replaces the control calls between nodes.
    attempts: AttemptsByNode,
    backends: JoinSet<()>,
}

/// The attempts of each guard by its control address.
type AttemptsByNode = Arc<Mutex<FastMap<SocketAddr, (Arc<Attempts>, Clock)>>>;

/// A complete response as received by a client.
#[derive(Debug)]
pub struct ClientResponse {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl ClientResponse {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().expect("the header is text"))
    }
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn node_settings(name: &str) -> NodeSettings {
    NodeSettings {
        node: Name::from(name),
        region: Name::from("tw-north"),
        domain: Name::from("a"),
        caller_address: loopback(),
        local_address: loopback(),
        peer_address: loopback(),
        control_address: loopback(),
        operator_address: loopback(),
        seeds: Vec::new(),
        peer_advertised_address: loopback(),
        control_advertised_address: loopback(),
        platform_address: loopback(),
        traffic_threads: 2,
        control_enabled: true,
        max_held_body_bytes: 64 * 1024,
        max_header_bytes: 16 * 1024,
        log_level: LevelFilter::Off,
        connect_timeout_ms: 250,
        idle_connection_ms: 5_000,
        silence_ms: 300,
        drain_timeout_ms: 5_000,
        platform_timeout_ms: 500,
        config_poll_ms: 200,
        lease_ms: 3_000,
        max_ledger_keys: 1_000,
    }
}

/// A preset with one class, where `POST` is non-idempotent by default.
pub fn plain_preset() -> Preset {
    Preset {
        name: Name::from("ordinary"),
        classes: vec![ClassPolicy {
            name: Name::from("reads"),
            wait_ms: 200,
            deadline_ms: 5_000,
        }],
        rules: Vec::new(),
        default_class: 0,
        retry_allotment: 3,
        resend_window_ms: 10_000,
    }
}

impl TestMesh {
    pub fn new() -> Self {
        Self {
            nodes: Vec::new(),
            client: http_client(5_000, 500),
            targets: Vec::new(),
            attempts: AttemptsByNode::default(),
            backends: JoinSet::new(),
        }
    }

    /// Starts a node whose backend server is `handler`, which gets the address of the local
    /// listener with each request.
    pub async fn add<F, R>(&mut self, name: &str, service: &str, handler: F) -> usize
    where
        F: Fn(Request<Body>, SocketAddr) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        self.add_with(node_settings(name), plain_preset(), service, handler)
            .await
    }

    pub async fn add_with<F, R>(
        &mut self,
        settings: NodeSettings,
        preset: Preset,
        service: &str,
        handler: F,
    ) -> usize
    where
        F: Fn(Request<Body>, SocketAddr) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let listener = bind(loopback()).await.expect("a port is free");
        let address = listener.local_addr().expect("the port is bound");
        let index = self.add_at(settings, preset, service, address).await;
        let local = self.nodes[index].local_address;
        self.backends
            .spawn(serve(listener, move |request, _| handler(request, local)));
        index
    }

    /// Starts a node in front of whatever listens at `address`.
    pub async fn add_at(
        &mut self,
        settings: NodeSettings,
        preset: Preset,
        service: &str,
        address: SocketAddr,
    ) -> usize {
        let mut inputs = NodeInputs::empty();
        let same_service = |target: &&Target| &*target.service == service;
        let owner = self.targets.iter().find(same_service);
        let owner = owner.map(|target| target.node.clone());
        inputs.claims = Some(fixed_claims(&settings, service, owner, inputs.clock));
        inputs.query_attempt = query_attempt(&self.attempts);
        let known = (inputs.attempts.clone(), inputs.clock);
        let in_force = InForce {
            version: 1,
            preset: Arc::new(preset),
        };
        inputs.in_force.store(Arc::new(Some(in_force)));
        let running = RunningNode::start(settings, inputs)
            .await
            .expect("the node starts");
        self.set_attempts(running.peer_address, known);
        self.targets.push(target_of(&running, service));
        self.nodes.push(running);
        self.announce(self.nodes.len() - 1, service, address).await;
        self.publish();
        self.nodes.len() - 1
    }

    pub fn set_attempts(&self, address: SocketAddr, known: (Arc<Attempts>, Clock)) {
        let mut attempts = self.attempts.lock().expect("no holder panics");
        attempts.insert(address, known);
    }

    async fn announce(&self, index: usize, service: &str, address: SocketAddr) {
        let announcement = Announcement {
            service: Name::from(service),
            address,
            slots: 100,
            connections: 700,
            state: TargetState::Up,
        };
        let body = serde_json::to_vec(&announcement).expect("plain structs always encode");
        let uri = format!("http://{}/announce", self.nodes[index].local_address);
        let request = Request::post(uri).body(full_body(body)).expect("valid");
        let got = self.send(request).await;
        assert_eq!(got.status, 204, "{got:?}");
    }

    /// Adds a target that is not a node of this mesh.
    pub fn add_external_target(&mut self, name: &str, service: &str, peer_address: SocketAddr) {
        let mut target = self.targets[0].clone();
        target.node = Name::from(name);
        target.service = Name::from(service);
        target.peer_address = peer_address;
        self.targets.push(target);
        self.publish();
    }

    /// Publishes another address of a target's listener for nodes.
    pub fn move_target(&mut self, name: &str, peer_address: SocketAddr) {
        let mut targets = self.targets.iter_mut();
        let target = targets.find(|target| &*target.node == name);
        target.expect("the target is there").peer_address = peer_address;
        self.publish();
    }

    /// Publishes all targets to every node.
    pub fn publish(&self) {
        let view = Arc::new(view_of(&self.targets));
        for running in &self.nodes {
            running.node.inputs.view.store(view.clone());
        }
    }

    /// The URI of a path at one node's listener for callers.
    pub fn uri(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[index].caller_address)
    }

    /// Sends a request and reads the complete response.
    pub async fn send(&self, request: Request<Body>) -> ClientResponse {
        send(&self.client, request).await
    }

    pub async fn get(&self, index: usize, path: &str) -> ClientResponse {
        let request = Request::get(self.uri(index, path));
        self.send(request.body(full_body("")).expect("valid")).await
    }

    pub async fn post(&self, index: usize, path: &str, body: &'static str) -> ClientResponse {
        let request = Request::post(self.uri(index, path));
        self.send(request.body(full_body(body)).expect("valid"))
            .await
    }
}

/// Sends a request and reads the complete response.
pub async fn send(client: &HttpClient, request: Request<Body>) -> ClientResponse {
    let response = client.request(request).await.expect("an answer comes");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("the answer is whole");
    ClientResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.to_bytes(),
    }
}

fn query_attempt(attempts: &AttemptsByNode) -> QueryAttempt {
    let attempts = attempts.clone();
    Arc::new(move |address, attempt| {
        let attempts = attempts.lock().expect("no holder panics");
        let known = attempts.get(&address);
        let status = known.map(|(attempts, clock)| attempts.status(clock.now(), attempt));
        ready(status.ok_or(PeerCallError::Stopped)).boxed()
    })
}

/// Creates claims in which the first target of a service owns all its slots permanently.
fn fixed_claims(
    settings: &NodeSettings,
    service: &str,
    owner: Option<Name>,
    clock: Clock,
) -> Arc<Claims> {
    let mut slot_lease = SlotLease::none_held();
    slot_lease.lease_until = TimeMs(u64::MAX);
    for slot in 0..SLOT_COUNT {
        match &owner {
            Some(node) => {
                let node = node.clone();
                slot_lease.others[slot] = Some(OtherOwner { node, epoch: 1 });
            }
            None => {
                slot_lease.held[slot] = Some(HeldSlot {
                    epoch: 1,
                    grace_until: TimeMs(0),
                    handing_over: false,
                });
            }
        }
    }
    let bounds = LedgerBounds::default();
    let limits = ResendLimits::new(10_000);
    let mut ledger = Ledger::new(Name::from(service), fastrand::u64(..), bounds, limits);
    ledger.set_slot_lease(slot_lease);
    let claims = ClaimsSettings {
        node: settings.node.clone(),
        region: settings.region.clone(),
        boot: 0,
        lease: LeaseConf::default(),
        bounds,
    };
    Claims::with_ledger(claims, clock, SharedLedger::new(clock, ledger))
}

fn target_of(running: &RunningNode, service: &str) -> Target {
    let settings = &running.node.settings;
    Target {
        node: settings.node.clone(),
        service: Name::from(service),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        peer_address: running.peer_address,
        control_address: running.peer_address,
        incarnation: 1,
        state: TargetState::Up,
        slots: 100,
    }
}

fn view_of(targets: &[Target]) -> View {
    let mut view = View {
        changes: targets.len() as u64,
        ..View::default()
    };
    let mut by_service: FastMap<Name, Vec<Arc<Target>>> = FastMap::default();
    for target in targets {
        let target = Arc::new(target.clone());
        view.nodes.insert(target.node.clone(), target.clone());
        let service = target.service.clone();
        by_service.entry(service).or_default().push(target);
    }
    let services = by_service.into_iter();
    view.services = services
        .map(|(name, targets)| (name, targets.into()))
        .collect();
    view
}
