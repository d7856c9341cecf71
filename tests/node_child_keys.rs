//! Keys of calls that a backend server makes on behalf of a keyed call.

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

use support::test_mesh::Got;
use support::test_mesh::TestMesh;
use support::test_mesh::send;

const PARENT_KEY: &str = "job-1";

/// Calls on with `child_key` in the received context, `times` times, and repeats the last status.
async fn call_on(
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

/// Puts the ledger of one node into its grace period, as after a take-over.
fn begin_grace(mesh: &TestMesh, place: usize) {
    let claims = mesh.nodes[place].node.inputs.claims.as_ref();
    let ledger = claims.and_then(|claims| claims.ledger()).expect("a ledger");
    ledger.with(|ledger, _| {
        let mut slot_lease = ledger.slot_lease().clone();
        for held in slot_lease.held.iter_mut().flatten() {
            held.grace_until = TimeMs(3_600_000);
        }
        ledger.set_slot_lease(slot_lease);
    });
}

async fn post_with_key(mesh: &TestMesh, place: usize, path: &str) -> Got {
    let request = Request::post(mesh.uri(place, path))
        .header(headers::IDEMPOTENCY_KEY, PARENT_KEY)
        .body(empty_body())
        .expect("valid");
    mesh.send(request).await
}

/// A user sees jobs fail for the length of the resend window after one scheduler crashed, though it
/// is back at once. The new owner of its slots refuses every key that it has not seen. Cause: it
/// cannot tell a first sending from a resend; the parent's node can, when the key is the parent's.
#[rstest]
#[case::own_key("job-1/deep", 1, 200)]
#[case::key_of_another_call("job-2/deep", 1, 503)]
#[case::own_key_without_joint("job-12", 1, 503)]
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
            call_on(request, local, child_key, times)
        })
        .await;
    let deep = mesh.add("deep-1", "deep", answer_at_once).await;
    begin_grace(&mesh, deep);
    let got = post_with_key(&mesh, front, "/front/start").await;
    assert_eq!(got.status, status, "{got:?}");
}

/// A user's own key is refused during the grace period, whatever its looks: an earlier sending of
/// it may have reached the owner that crashed.
#[tokio::test]
async fn a_root_key_waits_for_the_end_of_the_grace_period() {
    let mut mesh = TestMesh::new();
    let deep = mesh.add("deep-1", "deep", answer_at_once).await;
    begin_grace(&mesh, deep);
    let got = post_with_key(&mesh, deep, "/deep/run").await;
    assert_eq!(got.header(headers::REASON), "grace_period", "{got:?}");
    assert_eq!(got.header(headers::OUTCOME), "unknown");
}

/// A user is told that a job was not run and sends it again: a charge is made twice. The backend
/// server made the charge on behalf of the job and then answered that it had shed it unstarted.
/// Cause: its word was believed over the calls that passed the node.
#[tokio::test]
async fn a_call_that_called_on_was_not_shed_before_its_start() {
    let mut mesh = TestMesh::new();
    let front = mesh
        .add("front-1", "front", |request, local| async move {
            call_on(request, local, "job-1/deep", 1).await;
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
