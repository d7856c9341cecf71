//! What operators see of running nodes, and draining by name.

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use sassafrasgap::conf::NodeSettings;
use sassafrasgap::core::Name;
use sassafrasgap::node::NodeInputs;
use sassafrasgap::node::NodeProcess;
use serde_json::Value;
use serde_json::json;
use support::TestPlatform;
use support::ctl::ctl;

const NODES: [(&str, &str); 3] = [("n1", "a"), ("n2", "a"), ("n3", "b")];

async fn start_node(
    (node, domain): (&str, &str),
    platform: SocketAddr,
    seeds: Vec<SocketAddr>,
) -> NodeProcess {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = NodeSettings::with_defaults(
        Name::from(node),
        Name::from("r"),
        Name::from(domain),
        [any_port; 5],
        platform,
    );
    settings.seeds = seeds;
    settings.config_poll_ms = 100;
    NodeProcess::start(settings, NodeInputs::empty())
        .await
        .expect("it starts")
}

async fn start_nodes(platform: SocketAddr) -> Vec<NodeProcess> {
    let mut nodes: Vec<NodeProcess> = Vec::new();
    for place in NODES {
        let seeds = nodes.iter().map(|node| node.control.address).collect();
        nodes.push(start_node(place, platform, seeds).await);
    }
    nodes
}

async fn switch(platform: &TestPlatform, preset: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"));
    let file = file.join(format!("examples/association/presets/{preset}.yaml"));
    let address = platform.address.to_string();
    let file = file.display().to_string();
    assert_eq!(
        ctl(&["publish", "--platform", &address, &file]).await.code,
        0
    );
    assert_eq!(
        ctl(&["switch", "--platform", &address, preset]).await.code,
        0
    );
}

/// Asks until the status is as wanted; gives the last one up to judge.
async fn status_when(node: &NodeProcess, is_wanted: impl Fn(&Value) -> bool) -> Value {
    let address = node.running.operator_address.to_string();
    let mut last = Value::Null;
    for _ in 0..100 {
        let run = ctl(&["--json", "status", "--node", &address]).await;
        assert_eq!(run.code, 0, "{run:?}");
        last = run.json();
        if is_wanted(&last) {
            return last;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("still {last:#}");
}

fn in_force_everywhere(version: u64) -> impl Fn(&Value) -> bool {
    move |status| {
        status["version"] == json!(version)
            && status["unconfirmed_domains"] == json!([])
            && status["nodes"].as_array().map(Vec::len) == Some(NODES.len())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_node_shows_all_and_where_a_version_is_in_force() {
    let platform = TestPlatform::start().await;
    let nodes = start_nodes(platform.address).await;
    switch(&platform, "ordinary").await;
    status_when(&nodes[2], in_force_everywhere(1)).await;
    switch(&platform, "peak").await;
    let status = status_when(&nodes[0], in_force_everywhere(2)).await;
    assert_eq!(status["domains"][0]["in_force"], 2);
    assert_eq!(status["nodes"][2]["preset"], "peak");
    let address = nodes[1].running.operator_address.to_string();
    let platform = platform.address.to_string();
    let text = ctl(&["status", "--node", &address, "--platform", &platform])
        .await
        .stdout;
    assert!(
        text.contains("version 2 is in force on every node"),
        "{text}"
    );
    assert!(
        text.contains("platform: version 2, preset peak revision 1"),
        "{text}"
    );
}

// What a user would see: one failure domain serves by the old preset for as long as it cannot
// reach the platform, although its nodes talk to those of the other domain. Cause: each domain
// waits for its own polls.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_without_the_platform_takes_changes_from_its_peers() {
    let platform = TestPlatform::start().await;
    platform.add_fault(json!({"cut_off_domains": ["b"]})).await;
    let nodes = start_nodes(platform.address).await;
    switch(&platform, "ordinary").await;
    status_when(&nodes[2], in_force_everywhere(1)).await;
    switch(&platform, "peak").await;
    status_when(&nodes[2], in_force_everywhere(2)).await;
}

// What a user would see: "in force everywhere" right after a switch that no node has heard of.
// All nodes are cut off from the platform; the operator is not. Cause: only nodes are asked.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_only_the_platform_knows_is_confirmed_nowhere() {
    let platform = TestPlatform::start().await;
    let nodes = start_nodes(platform.address).await;
    switch(&platform, "ordinary").await;
    status_when(&nodes[0], in_force_everywhere(1)).await;
    platform
        .add_fault(json!({"cut_off_domains": ["a", "b"]}))
        .await;
    switch(&platform, "peak").await;
    let (node, address) = (
        nodes[0].running.operator_address.to_string(),
        platform.address.to_string(),
    );
    let run = ctl(&["--json", "status", "--node", &node, "--platform", &address])
        .await
        .json();
    assert_eq!(run["version"], 2);
    assert_eq!(run["unconfirmed_domains"], json!(["a", "b"]));
    platform.clear_faults().await;
    status_when(&nodes[0], in_force_everywhere(2)).await;
}

// What a user would see: "in force everywhere", while one failure domain serves by the old preset.
// Its node does not answer. Cause: silence is counted as consent.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_that_does_not_answer_is_not_confirmed() {
    let platform = TestPlatform::start().await;
    let mut nodes = start_nodes(platform.address).await;
    switch(&platform, "ordinary").await;
    status_when(&nodes[0], in_force_everywhere(1)).await;
    let silent = nodes.pop().expect("three nodes");
    silent.control.shutdown();
    let address = nodes[0].running.operator_address.to_string();
    let run = ctl(&["--json", "status", "--node", &address]).await.json();
    assert_eq!(run["unconfirmed_domains"], json!(["b"]));
    assert_eq!(run["domains"][1]["silent"], json!(["n3"]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_is_drained_by_name_through_another_node() {
    let platform = TestPlatform::start().await;
    let nodes = start_nodes(platform.address).await;
    switch(&platform, "ordinary").await;
    status_when(&nodes[0], in_force_everywhere(1)).await;
    let address = nodes[0].running.operator_address.to_string();
    let drained = ctl(&["drain", "--node", &address, "n3"]).await;
    assert_eq!(drained.code, 0, "{drained:?}");
    assert!(nodes[2].running.node.is_draining());
    status_when(&nodes[1], |status| {
        status["nodes"][2]["state"] == "draining"
    })
    .await;
    let unknown = ctl(&["drain", "--node", &address, "n9"]).await;
    assert_eq!(unknown.code, 1, "{unknown:?}");
    assert!(unknown.stderr.contains("no such node"), "{unknown:?}");
}

#[tokio::test]
async fn a_node_that_does_not_run_is_unreachable() {
    let run = ctl(&["--json", "status", "--node", "127.0.0.1:9"]).await;
    assert_eq!(run.code, 4, "{run:?}");
    assert_eq!(run.json()["error"], "unreachable");
}
