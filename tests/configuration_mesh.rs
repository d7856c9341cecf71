//! Versions never decrease on real node processes: restarts with the platform down, stale peers and
//! healed partitions.

mod mesh_support;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use sassafrasgap::configuration::Change;
use sassafrasgap::configuration::ConfigStore;
use sassafrasgap::core::Name;
use sassafrasgap::mesh::Mesh;
use sassafrasgap::mesh::Web;
use sassafrasgap::table_service::PlatformClient;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use mesh_support::PRESET;
use mesh_support::menus_plan;
use mesh_support::start;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Long, because these tests do not assert speed.
const MAX_WAIT_MS: u64 = 20_000;

/// Watches the versions in force at every node, across restarts, and records any that decreases.
struct VersionWatch {
    versions: Arc<Mutex<Vec<u64>>>,
    decreases: Arc<Mutex<Vec<String>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for VersionWatch {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl VersionWatch {
    fn start(mesh: &Mesh) -> Self {
        let versions = Arc::new(Mutex::new(vec![0; mesh.targets.len()]));
        let decreases = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = Vec::new();
        for (index, target) in mesh.targets.iter().enumerate() {
            let (versions, decreases) = (versions.clone(), decreases.clone());
            let (name, uri) = (target.name.clone(), target.operator_uri("/status"));
            tasks.push(tokio::spawn(async move {
                let web = Web::with_wait(500);
                loop {
                    if let Ok(status) = web.get_json::<Value>(&uri).await {
                        let version = status["config_version"].as_u64().unwrap_or(0);
                        let last = versions.lock().unwrap()[index];
                        // Right after a restart no version is known, and calls are refused.
                        if version > 0 && version < last {
                            let decrease = format!("{name}: {last} then {version}");
                            decreases.lock().unwrap().push(decrease);
                        }
                        versions.lock().unwrap()[index] = version;
                        if version == 0 {
                            versions.lock().unwrap()[index] = last;
                        }
                    }
                    sleep(POLL_INTERVAL).await;
                }
            }));
        }
        Self {
            versions,
            decreases,
            tasks,
        }
    }

    async fn wait_for(&self, expected: &[u64]) {
        for _ in 0..MAX_WAIT_MS / POLL_INTERVAL.as_millis() as u64 {
            if *self.versions.lock().unwrap() == expected {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!(
            "{:?} instead of {expected:?}",
            self.versions.lock().unwrap()
        );
    }

    fn assert_no_decrease(&self) {
        assert_eq!(*self.decreases.lock().unwrap(), Vec::<String>::new());
    }
}

async fn switch(mesh: &Mesh, preset: &str, change_id: &str) {
    let client = PlatformClient::new(mesh.platform_address, Name::from("operators"), 2_000);
    let store = ConfigStore::with_read_retries(client);
    let change = Change {
        change_id: Name::from(change_id),
        operator: Name::from("test"),
        at_unix_s: 0,
    };
    store
        .switch(&Name::from(preset), None, 0, &change)
        .await
        .expect("switched");
}

/// One node in each of three failure domains, with two presets to switch between.
async fn mesh_with_two_presets() -> Mesh {
    let mut plan = menus_plan();
    plan.presets
        .push(PRESET.replace("preset: ordinary", "preset: peak"));
    start(plan).await
}

/// Waits until a restarted node reports a version. It reports 0 until it knows one.
async fn wait_for_known_version(mesh: &Mesh, node: &str) -> u64 {
    let uri = mesh.target(node).operator_uri("/status");
    let web = Web::with_wait(500);
    for _ in 0..MAX_WAIT_MS / POLL_INTERVAL.as_millis() as u64 {
        if let Ok(status) = web.get_json::<Value>(&uri).await
            && let Some(version) = status["config_version"].as_u64().filter(|known| *known > 0)
        {
            return version;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("{node} reports no version");
}

// Guards against a node that restarts while the platform is down and applies an old preset or
// refuses all calls, because it has no peer to query or applies the first answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_with_the_platform_down_comes_back_with_the_version_of_its_peers() {
    let mut mesh = mesh_with_two_presets().await;
    let watch = VersionWatch::start(&mesh);
    switch(&mesh, "peak", "c2").await;
    watch.wait_for(&[2, 2, 2]).await;
    mesh.add_platform_fault(&json!({"down": true}))
        .await
        .unwrap();
    for node in ["menus-1", "menus-2", "menus-3"] {
        mesh.target_mut(node).kill();
        mesh.target_mut(node).restart().unwrap();
        assert_eq!(wait_for_known_version(&mesh, node).await, 2, "{node}");
    }
    watch.assert_no_decrease();
}

// Guards against a switch that is undone at some nodes for seconds. A failure domain is cut off and
// misses a switch; then the platform goes down, the partition heals, and a node that had the new
// version restarts and takes the old version from the peer that is behind.
#[tokio::test(flavor = "multi_thread")]
async fn a_reconnected_domain_that_is_behind_reverts_no_node() {
    let mut mesh = mesh_with_two_presets().await;
    let watch = VersionWatch::start(&mesh);
    watch.wait_for(&[1, 1, 1]).await;
    let behind = Name::from("domain-b");
    mesh.cut_off(&behind, true).await.unwrap();
    switch(&mesh, "peak", "c2").await;
    watch.wait_for(&[2, 1, 2]).await;
    mesh.add_platform_fault(&json!({"down": true}))
        .await
        .unwrap();
    mesh.target_mut("menus-1").kill();
    mesh.net.heal();
    // The peer that is behind answers first.
    let link = mesh.target("menus-3").control_link();
    mesh.net.change_link(&link, |rule| rule.delay_ms = 60);
    mesh.target_mut("menus-1").restart().unwrap();
    assert_eq!(wait_for_known_version(&mesh, "menus-1").await, 2);
    watch.wait_for(&[2, 2, 2]).await;
    watch.assert_no_decrease();
}

// Guards against `no_preset` for minutes in a domain whose nodes all start while they cannot reach
// the platform: they wait for it although nodes of other domains know the version in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_restarted_without_the_platform_gets_the_version_from_other_domains() {
    let mut mesh = mesh_with_two_presets().await;
    let cut = json!({"cut_off_domains": ["domain-c"]});
    mesh.add_platform_fault(&cut).await.unwrap();
    mesh.target_mut("menus-3").kill();
    mesh.target_mut("menus-3").restart().unwrap();
    assert_eq!(wait_for_known_version(&mesh, "menus-3").await, 1);
    switch(&mesh, "peak", "c2").await;
    let watch = VersionWatch::start(&mesh);
    watch.wait_for(&[2, 2, 2]).await;
    watch.assert_no_decrease();
}
