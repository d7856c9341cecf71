//! Small meshes of real processes for tests of failures.

#![allow(dead_code, unused_imports)]

mod callers;

pub use callers::Call;
pub use callers::Heard;
pub use callers::not_good;
pub use callers::send_evenly;

use std::path::PathBuf;
use std::time::Duration;

use sassafrasgap::backend::BackendSettings;
use sassafrasgap::backend::ChildCall;
use sassafrasgap::backend::RouteSettings;
use sassafrasgap::backend::ServiceTime;
use sassafrasgap::core::Name;
use sassafrasgap::mesh::Binaries;
use sassafrasgap::mesh::Mesh;
use sassafrasgap::mesh::MeshPlan;
use sassafrasgap::mesh::TargetPlan;

pub const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

/// Short, so that take-overs happen within a test.
pub const LEASE_MS: u64 = 2_000;
/// Between two probes of [`settle`].
const PROBE_EVERY_MS: u64 = 100;
/// Enough keys to meet every slot's owner.
const PROBES: usize = 64;

/// Orders are non-idempotent; menus are not. Orders matter most.
pub const PRESET: &str = "
preset: ordinary
order: [orders, menus]
classes:
  orders: {wait_ms: 2000, deadline_ms: 10000}
  menus: {wait_ms: 500, deadline_ms: 5000}
default_class: menus
rules:
  - {service: \"*\", method: POST, path_prefix: /orders, class: orders, non_idempotent: true}
retry_allotment: 4
resend_window_ms: 10000
";

pub fn binaries() -> Binaries {
    Binaries {
        node: PathBuf::from(env!("CARGO_BIN_EXE_sassafrasgap-node")),
        platform: PathBuf::from(env!("CARGO_BIN_EXE_sassafrasgap-platform")),
        backend: PathBuf::from(env!("CARGO_BIN_EXE_sassafrasgap-backend")),
    }
}

/// One target of `menus` in each failure domain, named `menus-1` and so on.
pub fn menus_plan() -> MeshPlan {
    plan(vec![service("menus", 10.0)])
}

/// `kitchen` calls `menus` for each call under `/menus` and `/orders`.
pub fn chain_plan() -> MeshPlan {
    let mut kitchen = service("kitchen", 5.0);
    kitchen.routes = vec![
        route("GET", "/menus", "/menus", false),
        route("POST", "/orders", "/orders", true),
    ];
    plan(vec![kitchen, service("menus", 10.0)])
}

pub fn service(name: &str, mean_ms: f64) -> BackendSettings {
    BackendSettings {
        service: name.to_string(),
        slots: 40,
        connections: 200,
        service_time: ServiceTime::fixed(mean_ms),
        ..BackendSettings::default()
    }
}

pub fn route(method: &str, path_prefix: &str, child_path: &str, with_key: bool) -> RouteSettings {
    RouteSettings {
        path_prefix: path_prefix.to_string(),
        method: Some(method.to_string()),
        service_time: None,
        children: vec![ChildCall {
            service: "menus".to_string(),
            method: method.to_string(),
            path: child_path.to_string(),
            with_key,
            share_percent: 100,
        }],
        parallel: false,
        archive: None,
    }
}

/// One target of each service in each failure domain.
pub fn plan(services: Vec<BackendSettings>) -> MeshPlan {
    let mut targets = Vec::new();
    for service in &services {
        for (index, domain) in DOMAINS.iter().enumerate() {
            targets.push(TargetPlan {
                node: Name::from(format!("{}-{}", service.service, index + 1)),
                domain: Name::from(*domain),
                backend: service.clone(),
            });
        }
    }
    MeshPlan {
        binaries: binaries(),
        region: Name::from("region"),
        targets,
        presets: vec![PRESET.to_string()],
        first_preset: Name::from("ordinary"),
        node_change: Box::new(|settings| settings.lease_ms = LEASE_MS),
        relayed: true,
        node_log: log::LevelFilter::Debug,
    }
}

pub async fn start(plan: MeshPlan) -> Mesh {
    Mesh::start(plan).await.expect("the mesh starts")
}

/// Lets so many milliseconds pass.
pub async fn pass_ms(wait_ms: u64) {
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
}

/// Reads that go through the entries of `nodes` in turn.
pub fn reads(mesh: &Mesh, nodes: &[&str], path: &str, count: usize) -> Vec<Call> {
    let call = |index: usize| {
        let node = mesh.target(nodes[index % nodes.len()]);
        Call::get(node.caller_uri(&format!("{path}/{index}")))
    };
    (0..count).map(call).collect()
}

/// Orders with a key each that go through the entries of `nodes` in turn.
pub fn orders(mesh: &Mesh, nodes: &[&str], path: &str, count: usize, round: &str) -> Vec<Call> {
    let call = |index: usize| {
        let node = mesh.target(nodes[index % nodes.len()]);
        let uri = node.caller_uri(&format!("{path}/{round}-{index}"));
        Call::order(uri, &format!("{round}-{index}"))
    };
    (0..count).map(call).collect()
}

/// Waits until every slot of a service has an owner that runs unseen keys: orders under `path`
/// are sent with new keys until a whole round of them is good.
pub async fn settle(mesh: &Mesh, nodes: &[&str], path: &str) {
    for round in 0..100 {
        let probes = orders(mesh, nodes, path, PROBES, &format!("probe-{round}"));
        let heard = send_evenly(&mesh.web, probes, 5).await;
        if not_good(&heard).is_empty() {
            // By then every member has read the row in which all others stand.
            return pass_ms(LEASE_MS).await;
        }
        pass_ms(PROBE_EVERY_MS).await;
    }
    panic!("slots of {path} do not settle");
}
