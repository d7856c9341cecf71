//! A request that crashes every backend server that runs it.

mod mesh_support;

use rstest::rstest;
use sassafrasgap::mesh::Mesh;

use mesh_support::Call;
use mesh_support::menus_plan;
use mesh_support::not_good;
use mesh_support::pass_ms;
use mesh_support::reads;
use mesh_support::send_evenly;
use mesh_support::start;

const NODES: [&str; 3] = ["menus-1", "menus-2", "menus-3"];
const KEY: Option<&str> = Some("poisoned-order");

/// A caller sends a request whose content makes backend servers crash. It hears of a failure and
/// sends it again, through every node in turn, for as long as it likes. Two backend servers at
/// most may crash in all, and the third goes on with the work of the others.
#[rstest]
#[case::read("GET", None)]
#[case::order("POST", KEY)]
#[tokio::test(flavor = "multi_thread")]
async fn at_most_two_backend_servers_crash(#[case] method: &str, #[case] key: Option<&str>) {
    let mut mesh = start(menus_plan()).await;
    let web = mesh.web.clone();
    for round in 0..9 {
        let uri = mesh
            .target(NODES[round % 3])
            .caller_uri("/menus/orders/poison");
        let call = Call {
            method: method.parse().expect("a method"),
            uri,
            key: key.map(str::to_string),
        };
        let heard = call.send(&web).await;
        assert!(!heard.is_good());
        pass_ms(50).await;
    }
    let crashed = crashed(&mut mesh);
    assert!((1..=2).contains(&crashed.len()), "{crashed:?}");
    let calls = reads(&mesh, &NODES, "/menus/list", 30);
    let heard = send_evenly(&web, calls, 10).await;
    assert_eq!(not_good(&heard), Vec::<String>::new());
}

fn crashed(mesh: &mut Mesh) -> Vec<String> {
    let targets = mesh.targets.iter_mut();
    let crashed = targets.filter_map(|target| {
        let status = target.backend.exit_status()?;
        Some(format!("{} {status}", target.name))
    });
    crashed.collect()
}
