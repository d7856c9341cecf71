//! The nodes of simulated fleets, and the views of them.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use sassafrasgap::core::FastMap;
use sassafrasgap::core::Name;
use sassafrasgap::core::Target;
use sassafrasgap::core::TargetState;
use sassafrasgap::core::View;
use sassafrasgap::placement::TargetFigures;

/// One planned node.
#[derive(Clone, Debug)]
pub struct NodePlan {
    pub name: Name,
    pub domain: Name,
    pub service: Name,
    pub slots: u32,
    pub state: TargetState,
    /// Of its target; `None` for a node whose guard measures nothing yet.
    pub figures: Option<TargetFigures>,
    /// The services that its entry calls, and how often a second.
    pub calls: Vec<(Name, f32)>,
}

#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub nodes: Vec<NodePlan>,
}

impl Fleet {
    /// Adds a target, and returns the name of its node.
    pub fn add(&mut self, service: &str, domain: usize, slots: u32, run_ms: u32) -> Name {
        let name = Name::from(format!("{service}-{:03}", self.nodes.len()));
        self.nodes.push(NodePlan {
            name: name.clone(),
            domain: domain_name(domain),
            service: Name::from(service),
            slots,
            state: TargetState::Up,
            figures: Some(TargetFigures {
                limit: slots,
                run_us: run_ms * 1_000,
                pressure_permille: 700,
            }),
            calls: Vec::new(),
        });
        name
    }

    /// Lets all nodes of a service call another one, at this rate over all of them.
    pub fn calls(&mut self, from: &str, to: &str, per_s: f32) {
        let count = self.nodes.iter().filter(|node| &*node.service == from);
        let each = per_s / count.count() as f32;
        let callers = self.nodes.iter_mut();
        for node in callers.filter(|node| &*node.service == from) {
            node.calls.push((Name::from(to), each));
        }
    }

    /// Lets all nodes call a service, at this rate over all of them.
    pub fn calls_of_all(&mut self, to: &str, per_s: f32) {
        let each = per_s / self.nodes.len() as f32;
        for node in &mut self.nodes {
            node.calls.push((Name::from(to), each));
        }
    }

    /// The freight planners' 85 nodes in 4 failure domains: the deepest service has 2, 1, 1 and 1
    /// targets there. Requests of callers arrive at all nodes.
    pub fn freight() -> Self {
        let mut fleet = Self::default();
        for at in 0..40 {
            fleet.add("capacity-desk", at % 4, 72, 1_400);
        }
        for at in 0..32 {
            fleet.add("booking-desk", at % 4, 77, 1_080);
        }
        for at in 0..8 {
            fleet.add("map-depot", at % 4, 308, 970);
        }
        for domain in [0, 0, 1, 2, 3] {
            fleet.add("waybill-desk", domain, 172, 63);
        }
        fleet.calls_of_all("capacity-desk", 1_500.0);
        fleet.calls_of_all("booking-desk", 200.0);
        fleet.calls_of_all("waybill-desk", 200.0);
        fleet.calls("capacity-desk", "booking-desk", 1_500.0);
        fleet.calls("booking-desk", "map-depot", 1_900.0);
        fleet.calls("map-depot", "waybill-desk", 7_600.0);
        fleet
    }

    /// A call graph in which each service calls three others. The nodes of each service are in
    /// consecutive failure domains. The services' loads are from 0.3 to 0.9 of their capacity.
    pub fn graph(nodes: usize, domains: usize, services: usize, calls_per_s: f32) -> Self {
        const SLOTS: u32 = 50;
        let mut fleet = Self::default();
        for at in 0..nodes {
            let service = at % services;
            let domain = (service + at / services) % domains;
            let load = 0.9 - 0.6 * service as f32 / services as f32;
            let run_ms = SLOTS as f32 * load * 1_000.0 / (calls_per_s / nodes as f32);
            let name = format!("service-{service:03}");
            fleet.add(&name, domain, SLOTS, run_ms as u32);
            let figures = fleet.nodes[at].figures.as_mut().unwrap();
            figures.pressure_permille = (load * 1_000.0) as u32;
        }
        for service in 0..services {
            let of = |part: usize| format!("service-{:03}", part % services);
            for step in [7, 31, 64] {
                let from = of(service);
                fleet.calls(
                    &from,
                    &of(service + step),
                    calls_per_s / services as f32 / 3.0,
                );
            }
        }
        fleet
    }

    /// A view with some nodes in other states than planned, and with failure domains cut off.
    pub fn view(
        &self,
        changes: u64,
        states: &BTreeMap<Name, TargetState>,
        cut_off: &[&str],
    ) -> View {
        let nodes = self.nodes.iter().enumerate().map(|(at, plan)| {
            let state = states.get(&plan.name).copied().unwrap_or(plan.state);
            Arc::new(target(at, plan, state))
        });
        let nodes: Vec<Arc<Target>> = nodes.collect();
        let mut services: FastMap<Name, Vec<Arc<Target>>> = FastMap::default();
        for node in &nodes {
            if !matches!(node.state, TargetState::Dead | TargetState::Left) {
                let targets = services.entry(node.service.clone()).or_default();
                targets.push(node.clone());
            }
        }
        let services = services.into_iter();
        View {
            changes,
            services: services
                .map(|(service, targets)| (service, targets.into()))
                .collect(),
            nodes: nodes
                .into_iter()
                .map(|node| (node.node.clone(), node))
                .collect(),
            cut_off_domains: cut_off.iter().map(|domain| Name::from(*domain)).collect(),
        }
    }
}

pub fn domain_name(at: usize) -> Name {
    Name::from(format!("zone-{at}"))
}

fn target(at: usize, plan: &NodePlan, state: TargetState) -> Target {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + at as u16));
    Target {
        node: plan.name.clone(),
        service: plan.service.clone(),
        region: Name::from("region-0"),
        domain: plan.domain.clone(),
        peer_address: address,
        control_address: address,
        incarnation: 1,
        state,
        slots: plan.slots,
    }
}
