//! Simulates in virtual time the exchange of loads among the nodes of a fleet, with message delays,
//! losses, cuts between failure domains, deaths and restarts.

mod fleet;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use fastrand::Rng;
use sassafrasgap::core::FastMap;
use sassafrasgap::core::Name;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::TimeMs;
use sassafrasgap::core::View;
use sassafrasgap::membership::Body;
use sassafrasgap::membership::Datagram;
use sassafrasgap::membership::Header;
use sassafrasgap::membership::encode_datagram;
use sassafrasgap::placement::CoordinatorChoice;
use sassafrasgap::placement::DomainLoad;
use sassafrasgap::placement::ExchangeStep;
use sassafrasgap::placement::FirstAttempts;
use sassafrasgap::placement::KnownFleet;
use sassafrasgap::placement::LoadExchange;
use sassafrasgap::placement::LoadMessage;
use sassafrasgap::placement::LocalLoad;
use sassafrasgap::placement::LocalTarget;
use sassafrasgap::placement::PlacementConf;
use sassafrasgap::placement::PlacementTable;
use sassafrasgap::placement::ServicePlacement;
use sassafrasgap::placement::TargetFigures;

pub use fleet::Fleet;
pub use fleet::NodePlan;

/// Step of the simulation, in which messages arrive.
const STEP_MS: u64 = 10;
/// Interval at which each node performs its due work, as in `traffic::load_task`.
const TICK_MS: u64 = 100;
/// Delays of messages within a failure domain and between two.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 20;
/// IP and UDP headers.
const PACKET_OVERHEAD_BYTES: u64 = 28;
/// When the simulation starts.
pub const START: TimeMs = TimeMs(10_000);

/// One simulated node.
struct Node {
    plan: NodePlan,
    exchange: LoadExchange,
    table: PlacementTable,
    attempts: FirstAttempts,
    view: Arc<View>,
    /// Spreads the ticks of nodes, in milliseconds.
    phase_ms: u64,
    is_running: bool,
}

impl Node {
    fn new(plan: NodePlan, view: Arc<View>, rng: &mut Rng) -> Self {
        let conf = PlacementConf::default();
        Self {
            exchange: LoadExchange::new(plan.name.clone(), plan.domain.clone(), conf),
            table: PlacementTable::default(),
            attempts: FirstAttempts::default(),
            view,
            phase_ms: rng.u64(..TICK_MS / STEP_MS) * STEP_MS,
            is_running: true,
            plan,
        }
    }
}

/// Bytes of datagrams of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeBytes {
    pub sent: u64,
    pub received: u64,
    pub messages: u64,
}

impl NodeBytes {
    pub fn total(self) -> u64 {
        self.sent + self.received
    }
}

/// The factor on the planned rate of calls: by node, service and time.
pub type DemandFactor = Box<dyn Fn(&NodePlan, &str, TimeMs) -> f32>;

/// The simulated fleet.
pub struct World {
    pub now: TimeMs,
    pub demand: DemandFactor,
    /// One in this many messages is lost, if any.
    pub lost_one_in: Option<usize>,
    /// Messages sent so far, by the sender's and the receiver's failure domain.
    pub sent_between: BTreeMap<(Name, Name), u64>,
    pub bytes: Vec<NodeBytes>,
    /// Calls arrive by chance; otherwise evenly.
    pub is_noisy: bool,
    nodes: Vec<Node>,
    by_name: FastMap<Name, usize>,
    cut_domains: BTreeSet<Name>,
    in_flight: BTreeMap<TimeMs, Vec<(usize, usize, LoadMessage)>>,
    /// Fractions of calls, so that low rates add up.
    fractions: Vec<FastMap<Name, f32>>,
    rng: Rng,
}

impl World {
    pub fn new(fleet: &Fleet, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let view = Arc::new(fleet.view(1, &BTreeMap::new(), &[]));
        let nodes: Vec<Node> = fleet
            .nodes
            .iter()
            .map(|plan| Node::new(plan.clone(), view.clone(), &mut rng))
            .collect();
        let names = nodes.iter().enumerate();
        let by_name = names
            .map(|(at, node)| (node.plan.name.clone(), at))
            .collect();
        Self {
            now: START,
            demand: Box::new(|_, _, _| 1.0),
            lost_one_in: None,
            sent_between: BTreeMap::new(),
            bytes: vec![NodeBytes::default(); nodes.len()],
            is_noisy: true,
            fractions: vec![FastMap::default(); nodes.len()],
            nodes,
            by_name,
            cut_domains: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            rng,
        }
    }

    /// Gives a view to the nodes for which `sees` holds.
    pub fn set_view(&mut self, view: View, sees: impl Fn(&NodePlan) -> bool) {
        let view = Arc::new(view);
        for node in self.nodes.iter_mut().filter(|node| sees(&node.plan)) {
            node.view = view.clone();
        }
    }

    /// Cuts failure domains off from all others. Views do not change by it.
    pub fn cut(&mut self, domains: &[&str]) {
        self.cut_domains = domains.iter().map(|domain| Name::from(*domain)).collect();
    }

    pub fn stop(&mut self, node: &str) {
        self.node(node).is_running = false;
    }

    /// Starts a node's process again, without what it knew.
    pub fn restart(&mut self, node: &str) {
        let at = self.by_name[node];
        let old = &self.nodes[at];
        self.nodes[at] = Node::new(old.plan.clone(), old.view.clone(), &mut self.rng);
    }

    /// Changes the figures of a node's target.
    pub fn set_figures(&mut self, node: &str, figures: TargetFigures) {
        self.node(node).plan.figures = Some(figures);
    }

    pub fn plans(&self) -> impl Iterator<Item = &NodePlan> {
        self.nodes.iter().map(|node| &node.plan)
    }

    /// The current placement of a service at a node.
    pub fn placement(&mut self, node: &str, service: &str) -> Option<Arc<ServicePlacement>> {
        let now = self.now;
        self.node(node).table.current(now, service)
    }

    /// What a node knows of the load of a service in a failure domain.
    pub fn known(&mut self, node: &str, service: &str, domain: &str) -> Option<DomainLoad> {
        let placement = self.placement(node, service)?;
        let mut loads = placement.loads.iter();
        loads.find(|load| &*load.domain == domain).cloned()
    }

    /// The coordinator of a service in a failure domain in the view of a node.
    pub fn coordinator(&mut self, seen_by: &str, service: &str, domain: &str) -> Option<Name> {
        let view = self.node(seen_by).view.clone();
        let mut choice = CoordinatorChoice::default();
        choice.update(&view);
        choice.coordinator(&Name::from(service), &Name::from(domain))
    }

    /// Forgets what was sent so far.
    pub fn reset_bytes(&mut self) {
        self.bytes = vec![NodeBytes::default(); self.nodes.len()];
        self.sent_between.clear();
    }

    pub fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now = self.now + STEP_MS;
            self.deliver();
            for at in 0..self.nodes.len() {
                let node = &self.nodes[at];
                if node.is_running && (self.now.0 + node.phase_ms).is_multiple_of(TICK_MS) {
                    self.tick(at);
                }
            }
        }
    }

    fn node(&mut self, name: &str) -> &mut Node {
        let at = self.by_name[name];
        &mut self.nodes[at]
    }

    fn tick(&mut self, at: usize) {
        self.send_calls(at);
        let node = &mut self.nodes[at];
        let accepts = node.plan.state == TargetState::Up;
        let target = node.plan.figures.filter(|_| accepts);
        let target = target.map(|figures| LocalTarget {
            service: node.plan.service.clone(),
            figures,
        });
        let local = LocalLoad {
            attempts: node.attempts.take(),
            target,
        };
        let view = node.view.clone();
        let fleet = known(&view);
        let step = node.exchange.tick(self.now, fleet, local);
        self.apply(at, step);
    }

    fn send_calls(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        for (service, per_s) in &node.plan.calls {
            let factor = (self.demand)(&node.plan, service, self.now);
            let mean = per_s * factor * TICK_MS as f32 / 1_000.0;
            let count = match self.is_noisy {
                true => poisson(&mut self.rng, mean),
                false => {
                    let fraction = self.fractions[at].entry(service.clone()).or_default();
                    *fraction += mean;
                    let whole = fraction.floor();
                    *fraction -= whole;
                    whole as u32
                }
            };
            for _ in 0..count {
                node.attempts.record(service);
            }
        }
    }

    fn apply(&mut self, at: usize, step: ExchangeStep) {
        for (service, placement) in step.placements {
            self.nodes[at].table.set(self.now, &service, placement);
        }
        for (to, message) in step.messages {
            self.send(at, &to, message);
        }
    }

    fn send(&mut self, from: usize, to: &Name, message: LoadMessage) {
        let to = self.by_name[to];
        let (near, far) = (&self.nodes[from].plan, &self.nodes[to].plan);
        let is_near = near.domain == far.domain;
        let bytes = self.datagram_bytes(from, &message);
        let key = (near.domain.clone(), far.domain.clone());
        let is_cut = !is_near
            && (self.cut_domains.contains(&near.domain) || self.cut_domains.contains(&far.domain));
        *self.sent_between.entry(key).or_default() += 1;
        self.bytes[from].sent += bytes;
        self.bytes[from].messages += 1;
        let is_lost = self.lost_one_in.is_some_and(|of| self.rng.usize(..of) == 0);
        if is_cut || is_lost {
            return;
        }
        self.bytes[to].received += bytes;
        let delay_ms = if is_near { NEAR_MS } else { FAR_MS };
        let arriving = self.in_flight.entry(self.now + delay_ms).or_default();
        arriving.push((from, to, message));
    }

    /// The size of a message in a datagram whose header has values of ordinary length.
    fn datagram_bytes(&self, from: usize, message: &LoadMessage) -> u64 {
        let datagram = Datagram {
            header: Header {
                from: self.nodes[from].plan.name.clone(),
                incarnation: 1_000_000,
                members_digest: u32::MAX,
                members: self.nodes.len() as u32,
                config_version: 100_000,
                confirmed_tenths: 20,
                store_era: 1,
                slot_maps_digest: u32::MAX,
                heard: Vec::new(),
            },
            body: Body::Loads(message.clone()),
            updates: Vec::new(),
        };
        encode_datagram(&datagram).len() as u64 + PACKET_OVERHEAD_BYTES
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (from, to, message) in due.into_values().flatten() {
            if !self.nodes[to].is_running {
                continue;
            }
            let from = self.nodes[from].plan.name.clone();
            let node = &mut self.nodes[to];
            let view = node.view.clone();
            let step = node.exchange.handle(self.now, known(&view), &from, message);
            self.apply(to, step);
        }
    }
}

fn known(view: &View) -> KnownFleet<'_> {
    KnownFleet {
        view,
        unreachable: &view.cut_off_domains,
    }
}

/// A number of events with this mean (Knuth's method).
fn poisson(rng: &mut Rng, mean: f32) -> u32 {
    let limit = (-f64::from(mean)).exp();
    let mut product = rng.f64();
    let mut count = 0;
    while product > limit {
        product *= rng.f64();
        count += 1;
    }
    count
}
