//! Keys of child calls that a backend server makes on behalf of a keyed call.

mod support;

use std::net::SocketAddr;

use http::Request;
use http::Response;
use http_body_util::BodyExt;
use rstest::rstest;

use sassafrasgap::adapters::Body;
use sassafrasgap::adapters::empty_body;
use sassafrasgap::adapters::full_body;
use sassafrasgap::adapters::http_client;
use sassafrasgap::core::TimeMs;
use sassafrasgap::wire::headers;

use support::test_mesh::ClientResponse;
use support::test_mesh::TestMesh;
use support::test_mesh::send;

const PARENT_KEY: &str = "job-1";

/// Makes `times` child calls with `child_key` in the received context and returns the last status.
async fn call_child(
    request: Request<Body>,
    local: SocketAddr,
    child_key: &'static str,
    times: usize,
) -> Response<Body> {
    let client = http_client(1_000, 500);
    let context = request.headers()[headers::CONTEXT].clone();
    let mut status = 500;
    for _ in 0..times {
        let child = Request::post(format!("http://{local}/deep/run"))
            .header(headers::CONTEXT, &context)
            .header(headers::IDEMPOTENCY_KEY, child_key)
            .body(empty_body())
            .expect("valid");
        status = send(&client, child).await.status;
    }
    let mut response = Response::new(full_body("done"));
    *response.status_mut() = status.try_into().expect("a status");
    response
}

async fn answer_at_once(request: Request<Body>, _: SocketAddr) -> Response<Body> {
    let _ = request.into_body().collect().await;
    Response::new(full_body("deep"))
}

/// Starts the grace period of one node's ledger, as after a take-over.
fn begin_grace(mesh: &TestMesh, index: usize) {
    let claims = mesh.nodes[index].node.inputs.claims.as_ref();
    let ledger = claims.and_then(|claims| claims.ledger()).expect("a ledger");
    ledger.with(|ledger, _| {
        let mut slot_lease = ledger.slot_lease().clone();
        for held in slot_lease.held.iter_mut().flatten() {
            held.grace_until = TimeMs(3_600_000);
        }
        ledger.set_slot_lease(slot_lease);
    });
}

async fn post_with_key(mesh: &TestMesh, index: usize, path: &str) -> ClientResponse {
    let request = Request::post(mesh.uri(index, path))
        .header(headers::IDEMPOTENCY_KEY, PARENT_KEY)
        .body(empty_body())
        .expect("valid");
    mesh.send(request).await
}

/// After a crash of one scheduler, the new owner of its slots refuses unseen keys, and jobs fail
/// for the length of the resend window. The owner cannot distinguish a first attempt from a resend.
/// The parent's node can, if the key extends the parent's key.
#[rstest]
#[case::own_key("job-1/deep", 1, 200)]
#[case::key_of_another_call("job-2/deep", 1, 503)]
#[case::own_key_without_separator("job-12", 1, 503)]
#[case::sent_twice_and_run_once("job-1/deep", 2, 200)]
#[tokio::test]
async fn a_child_key_of_the_parent_alone_needs_no_grace(
    #[case] child_key: &'static str,
    #[case] times: usize,
    #[case] status: u16,
) {
    let mut mesh = TestMesh::new();
    let front = mesh
        .add("front-1", "front", move |request, local| {
            call_child(request, local, child_key, times)
        })
        .await;
    let deep = mesh.add("deep-1", "deep", answer_at_once).await;
    begin_grace(&mesh, deep);
    let got = post_with_key(&mesh, front, "/front/start").await;
    assert_eq!(got.status, status, "{got:?}");
}

/// A root key is refused during the grace period whatever its form, since an earlier attempt may
/// have reached the owner that crashed.
#[tokio::test]
async fn a_root_key_waits_for_the_end_of_the_grace_period() {
    let mut mesh = TestMesh::new();
    let deep = mesh.add("deep-1", "deep", answer_at_once).await;
    begin_grace(&mesh, deep);
    let got = post_with_key(&mesh, deep, "/deep/run").await;
    assert_eq!(got.header(headers::REASON), "grace_period", "{got:?}");
    assert_eq!(got.header(headers::OUTCOME), "unknown");
}

/// A backend server makes a charge on behalf of a job and then claims that it shed the job
/// unstarted. If the claim overrode the child call that the node recorded, the job would be
/// reported as not run, and the charge made twice when it is sent again.
#[tokio::test]
async fn a_call_with_child_calls_was_not_shed_before_its_start() {
    let mut mesh = TestMesh::new();
    let front = mesh
        .add("front-1", "front", |request, local| async move {
            call_child(request, local, "job-1/deep", 1).await;
            Response::builder()
                .status(503)
                .header(headers::SHED, "1")
                .body(empty_body())
                .expect("valid")
        })
        .await;
    mesh.add("deep-1", "deep", answer_at_once).await;
    let got = post_with_key(&mesh, front, "/front/start").await;
    assert_eq!(got.header(headers::REASON), "backend_shed", "{got:?}");
    assert_eq!(got.header(headers::OUTCOME), "unknown");
}
