//! The platform's store is down, hangs or is slow for long, with real processes.

mod mesh_support;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use mesh_support::Heard;
use mesh_support::menus_plan;
use mesh_support::orders;
use mesh_support::pass_ms;
use mesh_support::send_evenly;
use mesh_support::settle;
use mesh_support::start;

const NODES: [&str; 3] = ["menus-1", "menus-2", "menus-3"];
/// Longer than any lease.
const OUTAGE_MS: u64 = 6_000;

/// The store fails in the middle of the day. Nothing else is wrong, so nearly all orders should
/// go on, each of them once; those that cannot are refused with a clear word.
#[rstest]
#[case::down(json!({"down": true}))]
#[case::hangs(json!({"hang": true}))]
#[case::slow(json!({"slow_delay_ms": 3000}))]
#[tokio::test(flavor = "multi_thread")]
async fn orders_go_on_without_the_store(#[case] fault: Value) {
    let mesh = start(menus_plan()).await;
    let web = mesh.web.clone();
    settle(&mesh, &NODES, "/menus/orders").await;
    mesh.add_platform_fault(&fault).await.expect("a fault");
    pass_ms(OUTAGE_MS).await;
    let calls = orders(&mesh, &NODES, "/menus/orders", 200, "outage");
    let heard = send_evenly(&web, calls, 10).await;
    let good = heard.iter().filter(|heard| heard.is_good()).count();
    let refused: Vec<&str> = heard.iter().map(Heard::reason).collect();
    assert!(good >= 180, "{good} of 200: {refused:?}");
    let runs = mesh.runs();
    assert!(runs.duplicates().is_empty(), "{:?}", runs.duplicates());
}
