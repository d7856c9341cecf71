//! The owner of keys is paused around dispatch, for longer than its lease, with real processes.

mod mesh_support;

use mesh_support::LEASE_MS;
use mesh_support::PRESET;
use mesh_support::menus_plan;
use mesh_support::orders;
use mesh_support::pass_ms;
use mesh_support::send_evenly;
use mesh_support::settle;
use mesh_support::start;

const NODES: [&str; 3] = ["menus-1", "menus-2", "menus-3"];
const OTHERS: [&str; 2] = ["menus-2", "menus-3"];
/// Long enough for the others to take its slots over.
const PAUSE_MS: u64 = 5 * LEASE_MS;
/// Between two rounds of resends, the last of which falls into the time after the pause.
const RESEND_EVERY_MS: u64 = PAUSE_MS / 4;
/// Callers keep to it: it outlasts the last resend.
const RESEND_WINDOW: &str = "resend_window_ms: 16000";

/// The VM of an owner is paused while orders arrive at it and some are about to be dispatched.
/// Their callers hear nothing and send them again, with the same keys, through the other nodes,
/// which meanwhile take the slots over. Then the VM goes on where it stopped, and still holds the
/// orders that it had read. Every order may run once and no more.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_runs_nothing_twice() {
    let mut plan = menus_plan();
    plan.presets = vec![PRESET.replace("resend_window_ms: 10000", RESEND_WINDOW)];
    let mesh = start(plan).await;
    let web = mesh.web.clone();
    settle(&mesh, &NODES, "/menus/orders").await;
    let first = orders(&mesh, &NODES, "/menus/orders", 120, "pause");
    let again = || orders(&mesh, &OTHERS, "/menus/orders", 120, "pause");
    let (heard, (), ()) = tokio::join!(
        send_evenly(&web, first, 5),
        async {
            for _ in 0..5 {
                pass_ms(RESEND_EVERY_MS).await;
                send_evenly(&web, again(), 5).await;
            }
        },
        async {
            pass_ms(200).await;
            mesh.target("menus-1").node.pause().expect("a signal");
            pass_ms(PAUSE_MS).await;
            mesh.target("menus-1").node.resume().expect("a signal");
        }
    );
    assert!(heard.iter().any(|heard| heard.is_good()));
    let runs = mesh.runs();
    assert!(runs.duplicates().is_empty(), "{:?}", runs.duplicates());
}
