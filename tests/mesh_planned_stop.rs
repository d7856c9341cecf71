//! Planned stops and drains under load, with real processes.

mod mesh_support;

use sassafrasgap::backend::RunList;
use sassafrasgap::core::TargetState;
use sassafrasgap::mesh::Mesh;
use sassafrasgap::node::Status;

use mesh_support::chain_plan;
use mesh_support::menus_plan;
use mesh_support::not_good;
use mesh_support::orders;
use mesh_support::pass_ms;
use mesh_support::reads;
use mesh_support::send_evenly;
use mesh_support::settle;
use mesh_support::start;

/// A VM is replaced at noon. Its node gets SIGTERM while calls run at its backend server, while
/// it forwards others, and while the other nodes go on sending. Callers see nothing of it: what
/// was in flight is answered whole, and the node exits by itself with success.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_to_a_node_cuts_off_nothing() {
    let mut plan = chain_plan();
    for target in &mut plan.targets {
        target.backend.service_time.mean_ms = 100.0;
    }
    let mut mesh = start(plan).await;
    let web = mesh.web.clone();
    settle(&mesh, &["kitchen-1", "kitchen-2"], "/kitchen/orders").await;
    // Few enough for the limits with which guards begin: nothing is refused for want of room.
    let stopping = reads(&mesh, &["menus-1"], "/kitchen/menus", 12);
    let others = ["menus-2", "menus-3", "kitchen-1", "kitchen-2", "kitchen-3"];
    let staying_reads = reads(&mesh, &others, "/kitchen/menus", 100);
    let staying_orders = orders(&mesh, &others, "/kitchen/orders", 100, "stop");
    let (through_stopping, other_reads, other_orders, exit) = tokio::join!(
        send_evenly(&web, stopping, 25),
        send_evenly(&web, staying_reads, 40),
        send_evenly(&web, staying_orders, 40),
        async {
            pass_ms(300).await;
            let node = &mut mesh.target_mut("menus-1").node;
            node.terminate().expect("a signal");
            node.wait_exit(20_000).await
        }
    );
    assert_eq!(not_good(&through_stopping), Vec::<String>::new());
    assert_eq!(not_good(&other_reads), Vec::<String>::new());
    assert_eq!(not_good(&other_orders), Vec::<String>::new());
    assert!(exit.expect("it exits").success());
    assert!(mesh.runs().duplicates().is_empty());
}

/// A backend server announces that it drains, under load. Its guard sends it nothing more at
/// once; the other nodes hear of it within three seconds; callers see only good answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_backend_server_gets_nothing_new() {
    let mesh = start(menus_plan()).await;
    let web = mesh.web.clone();
    let nodes = ["menus-1", "menus-2", "menus-3"];
    let calls = reads(&mesh, &nodes, "/menus/list", 400);
    let (heard, ()) = tokio::join!(send_evenly(&web, calls, 10), async {
        pass_ms(500).await;
        let uri = mesh.target("menus-1").backend_uri("/drain");
        web.post_json(&uri, &()).await.expect("an answer");
        pass_ms(2_900).await;
        for node in nodes {
            let state = state_seen_by(&mesh, node, "menus-1").await;
            assert!(!state.accepts_calls(), "{node} sees {state:?}");
        }
    });
    assert_eq!(not_good(&heard), Vec::<String>::new());
    let uri = mesh.target("menus-1").backend_uri("/runs");
    let runs: RunList = web.get_json(&uri).await.expect("runs");
    let counters = runs.counters;
    assert!(counters.started > 0, "it had work before the drain");
    assert!(
        counters.last_arrival_after_drain_ms <= 1_000,
        "{counters:?}"
    );
}

async fn state_seen_by(mesh: &Mesh, node: &str, member: &str) -> TargetState {
    let uri = mesh.target(node).operator_uri("/status");
    let status: Status = mesh.web.get_json(&uri).await.expect("a status");
    let members = status.members.into_iter();
    let mut found = members.filter(|target| &*target.node == member);
    found
        .next()
        .map_or(TargetState::Left, |target| target.state)
}
