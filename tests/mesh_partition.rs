//! A failure domain cut off from the others, with real processes.

mod mesh_support;

use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::mesh::Mesh;
use sassafrasgap::node::Status;

use mesh_support::Call;
use mesh_support::DOMAINS;
use mesh_support::not_good;
use mesh_support::pass_ms;
use mesh_support::plan;
use mesh_support::reads;
use mesh_support::send_evenly;
use mesh_support::service;
use mesh_support::start;

/// How long the nodes get to notice, and later to merge again.
const NOTICE_MS: u64 = 15_000;
const POLL_MS: u64 = 100;

/// The links of a failure domain are cut. Its own callers are still served by what has targets in
/// it; a service without any is refused as certainly not run. The rest goes on without it. When
/// the links heal, all nodes see each other again.
#[rstest]
#[case::from_other_domains(false)]
#[case::from_the_platform_too(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_cut_off_serves_what_it_has(#[case] platform_too: bool) {
    let mut plan = plan(vec![service("menus", 10.0), service("orders", 10.0)]);
    // The service `orders` has no target in the first failure domain.
    plan.targets.retain(|target| &*target.node != "orders-1");
    let mesh = start(plan).await;
    let web = mesh.web.clone();
    let domain = Name::from(DOMAINS[0]);
    mesh.cut_off(&domain, platform_too).await.expect("a cut");
    wait_for_cut(&mesh, "menus-1", DOMAINS[1]).await;
    wait_for_cut(&mesh, "menus-1", DOMAINS[2]).await;
    wait_for_cut(&mesh, "orders-2", DOMAINS[0]).await;
    let inside = reads(&mesh, &["menus-1"], "/menus/list", 40);
    let outside = reads(
        &mesh,
        &["menus-2", "menus-3", "orders-2"],
        "/orders/list",
        60,
    );
    let missing = reads(&mesh, &["menus-1"], "/orders/list", 5);
    let (inside, outside, missing) = tokio::join!(
        send_evenly(&web, inside, 10),
        send_evenly(&web, outside, 10),
        send_evenly(&web, missing, 10),
    );
    assert_eq!(not_good(&inside), Vec::<String>::new());
    assert_eq!(not_good(&outside), Vec::<String>::new());
    for heard in &missing {
        assert_eq!(heard.outcome(), "not_run", "{heard:?}");
    }
    mesh.heal().await.expect("healed");
    mesh.wait_ready(NOTICE_MS).await.expect("merged");
    let uri = mesh.target("menus-1").caller_uri("/orders/list/healed");
    let heard = Call::get(uri).send(&web).await;
    assert!(heard.is_good(), "{heard:?}");
}

/// Waits until a node takes a failure domain to be cut off.
async fn wait_for_cut(mesh: &Mesh, node: &str, domain: &str) {
    let uri = mesh.target(node).operator_uri("/status");
    for _ in 0..NOTICE_MS / POLL_MS {
        let status: Status = mesh.web.get_json(&uri).await.expect("a status");
        if status.cut_off_domains.iter().any(|cut| &**cut == domain) {
            return;
        }
        pass_ms(POLL_MS).await;
    }
    panic!("{node} does not notice that {domain} is cut off");
}
