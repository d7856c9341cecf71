//! Planned stop of a node under load, and a request that crashes backend servers, with real
//! processes.

mod mesh_support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use tokio::task::JoinSet;

use sassafrasgap::backend::ServiceTime;
use sassafrasgap::mesh::Mesh;
use sassafrasgap::mesh::Web;

use mesh_support::menus_plan;
use mesh_support::start;

const CALLERS: usize = 8;
/// The duration of a call, chosen so that many are in flight when the node is stopped.
const CALL_MS: f64 = 150.0;
const EXIT_WAIT_MS: u64 = 15_000;

/// Calls one entry repeatedly, alternating reads and orders, and returns the calls that failed.
async fn call_repeatedly(web: Web, entry: SocketAddr, calls: usize) -> Vec<String> {
    let mut failed = Vec::new();
    for call in 0..calls {
        let method = if call % 2 == 0 {
            Method::GET
        } else {
            Method::POST
        };
        let uri = format!("http://{entry}/menus/{call}");
        let got = web.send(method.clone(), &uri, &[], Bytes::new()).await;
        match got {
            Ok(answer) if answer.status == StatusCode::OK => {}
            other => failed.push(format!("{method} {uri} {other:?}")),
        }
    }
    failed
}

/// An operator stops a node while calls run at its backend server and more arrive through other
/// nodes. A stop that closes connections interrupts calls in flight, and one that only stops
/// listening loses calls on their way. Every call must be answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_call() {
    let mut plan = menus_plan();
    for target in &mut plan.targets {
        target.backend.service_time = ServiceTime::fixed(CALL_MS);
    }
    let mut mesh = start(plan).await;
    let others = [
        mesh.target("menus-2").addresses.caller,
        mesh.target("menus-3").addresses.caller,
    ];
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call_repeatedly(Web::new(), others[caller % 2], 20));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let stopped = &mut mesh.target_mut("menus-1").node;
    stopped.terminate().expect("the node runs");
    let status = stopped.wait_exit(EXIT_WAIT_MS).await.expect("it ends");
    assert!(status.success(), "{status}");
    let failed: Vec<String> = callers.join_all().await.into_iter().flatten().collect();
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(mesh.runs().starts_of("menus", "/0") > 0);
}

/// Sends a request through one entry and returns the reason or error.
async fn send_poison(mesh: &Mesh, entry: usize) -> String {
    let uri = mesh.targets[entry].caller_uri("/menus/poison/7");
    let got = mesh.web.send(Method::GET, &uri, &[], Bytes::new()).await;
    got.map_or_else(
        |error| error.to_string(),
        |answer| answer.header("sassafrasgap-reason").to_string(),
    )
}

/// One request crashes each backend server that runs it, and its caller sends it again through
/// other nodes, each time as a new request. Without a record of it, all backend servers of the
/// service go down. At most two may crash, and other requests must succeed.
#[tokio::test(flavor = "multi_thread")]
async fn a_poisoned_request_crashes_two_backend_servers_at_most() {
    let mut mesh = start(menus_plan()).await;
    let mut reasons = Vec::new();
    for round in 0..6 {
        reasons.push(send_poison(&mesh, round % 3).await);
    }
    let entry = mesh.targets[0].caller_uri("/menus/7");
    let other = mesh.web.get(&entry).await.expect("an answer");
    assert_eq!(other.status, StatusCode::OK, "{other:?}");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let crashed = mesh
        .targets
        .iter_mut()
        .filter_map(|target| target.backend.exit_status())
        .count();
    assert!(
        crashed <= 2,
        "{crashed} backend servers crashed: {reasons:?}"
    );
    assert!(crashed >= 1, "no backend server crashed: {reasons:?}");
    assert_eq!(reasons.last().map(String::as_str), Some("poisoned"));
}
