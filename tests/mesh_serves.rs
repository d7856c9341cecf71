//! A mesh of real processes serves calls through entry, guard and backend server.

mod mesh_support;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use rstest::rstest;
use sassafrasgap::backend::Answer;

use mesh_support::chain_plan;
use mesh_support::settle;
use mesh_support::start;

/// Every node is an entry, whichever service its own backend server belongs to; the answer is the
/// whole one to the call that was sent, and so is the answer of the further service within it.
#[rstest]
#[case::direct(false)]
#[case::relayed(true)]
#[tokio::test(flavor = "multi_thread")]
async fn every_entry_serves_the_chain(#[case] relayed: bool) {
    let mut plan = chain_plan();
    plan.relayed = relayed;
    let mesh = start(plan).await;
    settle(&mesh, &["kitchen-1", "kitchen-2"], "/kitchen/orders").await;
    let before = mesh.runs().completed;
    for (index, target) in mesh.targets.iter().enumerate() {
        let uri = target.caller_uri(&format!("/kitchen/orders/{index}?table=4"));
        let key = format!("order-{index}");
        let headers = [("idempotency-key", key.as_str())];
        let body = Bytes::from_static(b"soup");
        let sent = mesh.web.send(Method::POST, &uri, &headers, body).await;
        let answer = sent.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.header("sassafrasgap-outcome"), "ran");
        let answer: Answer = answer.json().expect("the answer of a backend server");
        assert_eq!(answer.service, "kitchen");
        assert_eq!(answer.path, format!("/orders/{index}?table=4"));
        assert_eq!(answer.key.as_deref(), Some(key.as_str()));
        assert_eq!(answer.body_bytes, 4);
        assert_eq!(answer.children.len(), 1);
    }
    let runs = mesh.runs();
    assert_eq!(runs.completed - before, 2 * mesh.targets.len() as u64);
    assert!(runs.duplicates().is_empty(), "{:?}", runs.duplicates());
}
