//! Versions never fall on real node processes: restarts with the platform down, stale peers and
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

const LOOK: Duration = Duration::from_millis(10);
/// Generous: a wait is no assertion on speed.
const LONGEST_WAIT_MS: u64 = 20_000;

/// Watches the versions in force at every node, over restarts, and notes any that falls.
struct Watch {
    versions: Arc<Mutex<Vec<u64>>>,
    falls: Arc<Mutex<Vec<String>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Watch {
    fn start(mesh: &Mesh) -> Self {
        let versions = Arc::new(Mutex::new(vec![0; mesh.targets.len()]));
        let falls = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = Vec::new();
        for (index, target) in mesh.targets.iter().enumerate() {
            let (versions, falls) = (versions.clone(), falls.clone());
            let (name, uri) = (target.name.clone(), target.operator_uri("/status"));
            tasks.push(tokio::spawn(async move {
                let web = Web::with_wait(500);
                loop {
                    if let Ok(status) = web.get_json::<Value>(&uri).await {
                        let version = status["config_version"].as_u64().unwrap_or(0);
                        let last = versions.lock().unwrap()[index];
                        // Right after a restart none is known, and calls are refused.
                        if version > 0 && version < last {
                            let fall = format!("{name}: {last} then {version}");
                            falls.lock().unwrap().push(fall);
                        }
                        versions.lock().unwrap()[index] = version;
                        if version == 0 {
                            versions.lock().unwrap()[index] = last;
                        }
                    }
                    sleep(LOOK).await;
                }
            }));
        }
        Self {
            versions,
            falls,
            tasks,
        }
    }

    async fn wait_for(&self, wanted: &[u64]) {
        for _ in 0..LONGEST_WAIT_MS / LOOK.as_millis() as u64 {
            if *self.versions.lock().unwrap() == wanted {
                return;
            }
            sleep(LOOK).await;
        }
        panic!("{:?} instead of {wanted:?}", self.versions.lock().unwrap());
    }

    fn assert_no_fall(&self) {
        assert_eq!(*self.falls.lock().unwrap(), Vec::<String>::new());
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

/// The node itself answers 0 until it knows a version, so a restart is over when it answers more.
async fn wait_known(mesh: &Mesh, node: &str) -> u64 {
    let uri = mesh.target(node).operator_uri("/status");
    let web = Web::with_wait(500);
    for _ in 0..LONGEST_WAIT_MS / LOOK.as_millis() as u64 {
        if let Ok(status) = web.get_json::<Value>(&uri).await
            && let Some(version) = status["config_version"].as_u64().filter(|known| *known > 0)
        {
            return version;
        }
        sleep(LOOK).await;
    }
    panic!("{node} knows no version");
}

// What a user would see: one VM is replaced while the platform is down, and serves by the preset
// of yesterday, or refuses everything. Cause: it has nobody to ask, or believes the first answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_with_the_platform_down_comes_back_with_the_version_of_its_peers() {
    let mut mesh = mesh_with_two_presets().await;
    let watch = Watch::start(&mesh);
    switch(&mesh, "peak", "c2").await;
    watch.wait_for(&[2, 2, 2]).await;
    mesh.add_platform_fault(&json!({"down": true}))
        .await
        .unwrap();
    for node in ["menus-1", "menus-2", "menus-3"] {
        mesh.target_mut(node).kill();
        mesh.target_mut(node).restart().unwrap();
        assert_eq!(wait_known(&mesh, node).await, 2, "{node}");
    }
    watch.assert_no_fall();
}

// What a user would see: a switch is undone in part of the system for some seconds.
// A failure domain is cut off from everything and misses a switch. The platform goes down, the cut
// heals, and a node that had the new version restarts: the peer that is behind is among those it
// asks. Cause: the old version is taken from the stale peer.
#[tokio::test(flavor = "multi_thread")]
async fn a_healed_domain_that_is_behind_takes_nobody_back() {
    let mut mesh = mesh_with_two_presets().await;
    let watch = Watch::start(&mesh);
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
    assert_eq!(wait_known(&mesh, "menus-1").await, 2);
    watch.wait_for(&[2, 2, 2]).await;
    watch.assert_no_fall();
}

// What a user would see: "no_preset" for minutes in a domain whose VMs were all replaced.
// Its nodes start while the platform is down for them. Cause: they wait for the platform although
// nodes of other domains know the version in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_started_anew_without_the_platform_learns_from_other_domains() {
    let mut mesh = mesh_with_two_presets().await;
    let cut = json!({"cut_off_domains": ["domain-c"]});
    mesh.add_platform_fault(&cut).await.unwrap();
    mesh.target_mut("menus-3").kill();
    mesh.target_mut("menus-3").restart().unwrap();
    assert_eq!(wait_known(&mesh, "menus-3").await, 1);
    switch(&mesh, "peak", "c2").await;
    let watch = Watch::start(&mesh);
    watch.wait_for(&[2, 2, 2]).await;
    watch.assert_no_fall();
}
