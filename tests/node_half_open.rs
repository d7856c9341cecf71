//! Connections between nodes that become half-open while new ones work.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use http_body_util::BodyExt;
use rstest::rstest;

use sassafrasgap::adapters::Body;
use sassafrasgap::adapters::full_body;
use sassafrasgap::control::AttemptStatus;
use sassafrasgap::core::AttemptId;
use sassafrasgap::core::Clock;
use sassafrasgap::core::Name;
use sassafrasgap::core::Priority;
use sassafrasgap::core::RefusalReason;
use sassafrasgap::core::RequestId;
use sassafrasgap::core::RetryReason;
use sassafrasgap::core::TimeMs;
use sassafrasgap::node::Attempts;
use sassafrasgap::wire::CallHeader;

use support::test_mesh::TestMesh;
use support::test_relay::Lost;
use support::test_relay::TestRelay;

/// An entry, and a target of `orders` behind a relay, with its runs counted.
struct Scenario {
    mesh: TestMesh,
    relay: TestRelay,
    runs: Arc<AtomicU32>,
}

async fn scenario() -> Scenario {
    let runs = Arc::new(AtomicU32::new(0));
    let mut mesh = TestMesh::new();
    mesh.add("one", "menus", |_, _| async {
        Response::new(full_body("menu"))
    })
    .await;
    let counted = runs.clone();
    let target = mesh
        .add(
            "two",
            "orders",
            move |request: Request<Body>, _: SocketAddr| {
                let run = counted.fetch_add(1, Ordering::SeqCst) + 1;
                async move {
                    let body = request.into_body().collect().await;
                    let body = body.expect("the request is whole").to_bytes();
                    let text = format!("run {run} of {}", String::from_utf8_lossy(&body));
                    Response::new(full_body(text))
                }
            },
        )
        .await;
    let relay = TestRelay::start(mesh.nodes[target].peer_address).await;
    mesh.move_target("two", relay.address);
    // A guard's report that an attempt was never seen is trusted only if its record reaches back
    // beyond the sending by more than the clock drift.
    tokio::time::sleep(Duration::from_millis(100)).await;
    Scenario { mesh, relay, runs }
}

impl Scenario {
    async fn order(&self, method: &str, key: Option<&str>) -> support::test_mesh::ClientResponse {
        let mut request = Request::builder()
            .method(method)
            .uri(self.mesh.uri(0, "/orders/7"));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        self.mesh
            .send(request.body(full_body("two sacks")).expect("valid"))
            .await
    }

    /// Replaces the target's record of attempts by that of a new process after the given run began.
    async fn restart_after_run(&self, run: u32) {
        while self.runs.load(Ordering::SeqCst) < run {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let new_process = (Arc::new(Attempts::default()), Clock::new());
        let address = self.mesh.nodes[1].peer_address;
        self.mesh.set_attempts(address, new_process);
    }

    fn retries(&self, reason: RetryReason) -> u64 {
        self.mesh.nodes[0].node.metrics.retries(reason)
    }
}

/// An order is sent on a kept connection that is half-open: the guard never sees it, and nothing is
/// closed. The entry queries the guard over another connection. The guard reports the order as
/// never seen, and the entry sends it again. It must run once.
#[rstest]
#[case::order("POST", None)]
#[case::order_with_key("POST", Some("order-7"))]
#[case::read("PUT", None)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_lost_on_its_way_is_sent_again(#[case] method: &str, #[case] key: Option<&str>) {
    let scenario = scenario().await;
    assert_eq!(
        &scenario.order("PUT", None).await.body[..],
        b"run 1 of two sacks"
    );
    scenario.relay.make_half_open(Lost::Requests);
    let got = scenario.order(method, key).await;
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(&got.body[..], b"run 2 of two sacks");
    assert_eq!(scenario.runs.load(Ordering::SeqCst), 2);
    assert!(scenario.retries(RetryReason::SilentConnection) >= 1);
    assert!(scenario.relay.accepted() >= 2);
}

/// The order runs, but its answer is lost on a half-open connection. A resend would run it twice,
/// and giving up would leave the caller without the outcome. The entry must fetch the kept answer.
#[rstest]
#[case::order("POST", None)]
#[case::order_with_key("POST", Some("order-7"))]
#[case::read("PUT", None)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_lost_on_its_way_is_fetched(#[case] method: &str, #[case] key: Option<&str>) {
    let scenario = scenario().await;
    scenario.order("PUT", None).await;
    if key.is_some() {
        // The owner's stamp is known before, so that the order is sent on the kept connection.
        scenario.order("POST", Some("order-6")).await;
    }
    let before = scenario.runs.load(Ordering::SeqCst);
    scenario.relay.make_half_open(Lost::Answers);
    let got = scenario.order(method, key).await;
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.body, format!("run {} of two sacks", before + 1));
    assert_eq!(scenario.runs.load(Ordering::SeqCst), before + 1);
    let metrics = &scenario.mesh.nodes[0].node.metrics;
    assert!(metrics.silent_connections.get() >= 1);
}

/// Connections become half-open repeatedly in both directions. Each call must still complete and
/// run once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_half_open_connections_lose_no_call() {
    let scenario = scenario().await;
    for round in 1..=4 {
        scenario.relay.make_half_open(Lost::Both);
        let got = scenario.order("POST", None).await;
        assert_eq!(got.body, format!("run {round} of two sacks"));
    }
    assert_eq!(scenario.runs.load(Ordering::SeqCst), 4);
}

/// The guard reported the attempt as never seen, and the sender has sent the order again. Then the
/// half-open connection delivers the first attempt after all. It must not run in addition to the
/// second.
#[tokio::test]
async fn a_revoked_attempt_that_arrives_late_is_refused() {
    let scenario = scenario().await;
    let guard = &scenario.mesh.nodes[1];
    let attempt = AttemptId(7);
    let inputs = &guard.node.inputs;
    let status = inputs.attempts.status(inputs.clock.now(), attempt);
    assert!(matches!(status, AttemptStatus::NeverSeen { .. }));
    let header = CallHeader {
        request: RequestId(1),
        attempt,
        priority: Priority::new(0, 0),
        depth: 0,
        deadline_left_ms: 1_000,
        wait_ms: 100,
        allotment: 0,
        non_idempotent: true,
        key: None,
        owner_stamp: 0,
        first_sending: false,
        config_version: 1,
        body_len: Some(0),
        from_node: Name::from("one"),
    };
    let request = Request::post(format!("http://{}/orders/7", guard.peer_address))
        .header("sassafrasgap-call", header.encode())
        .body(full_body(""))
        .expect("valid");
    scenario.mesh.send(request).await;
    assert_eq!(scenario.runs.load(Ordering::SeqCst), 0);
    let refusals = guard.node.metrics.guard_refusals(RefusalReason::Revoked);
    assert_eq!(refusals, 1);
}

/// A charge runs, its answer is lost on a half-open connection, and the guard's process restarts.
/// The new process has never seen the attempt. If its report were trusted, the charge would run
/// twice. The entry must return `unknown`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_guard_is_not_trusted_about_earlier_attempts() {
    let scenario = scenario().await;
    scenario.order("PUT", None).await;
    scenario.relay.make_half_open(Lost::Answers);
    let (got, ()) = tokio::join!(scenario.order("POST", None), scenario.restart_after_run(2));
    assert_eq!(got.header("sassafrasgap-outcome"), "unknown", "{got:?}");
    assert_eq!(scenario.runs.load(Ordering::SeqCst), 2);
}

/// A charge ran so long ago that the guard has evicted the attempt. The sender, which could not
/// query earlier, must not take it as never seen, since the record does not reach back that far.
#[test]
fn the_record_does_not_cover_forgotten_attempts() {
    let attempts = Attempts::default();
    let attempt = AttemptId(7);
    attempts.arrive(TimeMs(1_000), attempt);
    attempts.end(TimeMs(2_000), attempt, None);
    let queried_at = TimeMs(60_000);
    let AttemptStatus::NeverSeen { complete_for_ms } = attempts.status(queried_at, attempt) else {
        panic!("the attempt is still remembered");
    };
    assert_eq!(complete_for_ms, queried_at.since(TimeMs(2_000)));
}
