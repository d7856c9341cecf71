//! Attempts of a root are bounded by its calls plus its allotment, and resends join a running call.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;

use sassafrasgap::adapters::Body;
use sassafrasgap::adapters::empty_body;
use sassafrasgap::adapters::full_body;
use sassafrasgap::core::RetryReason;
use sassafrasgap::retry::Allotment;

use support::test_mesh::TestMesh;

/// Counts of a call tree.
#[derive(Debug, Default)]
struct Tree {
    calls: u64,
    attempts: u64,
}

/// Random faults of attempts: an attempt fails, or its answer is lost together with the unused
/// share.
struct RandomFaults {
    random: fastrand::Rng,
    failure_percent: u8,
    lost_percent: u8,
}

impl RandomFaults {
    fn draw(&mut self, percent: u8) -> bool {
        self.random.u8(..100) < percent
    }
}

/// Simulates a call with its children like guards and entries. A share goes with each attempt, its
/// unused part is returned unless the answer is lost, and each retry is charged.
fn simulate_call(
    depth: u8,
    fan_out: u8,
    holder: &mut Allotment,
    faults: &mut RandomFaults,
    tree: &mut Tree,
) {
    tree.calls += 1;
    loop {
        tree.attempts += 1;
        let share = holder.hand_out();
        let mut own = Allotment::new(share);
        if depth > 1 {
            for _ in 0..fan_out {
                simulate_call(depth - 1, fan_out, &mut own, faults, tree);
            }
        }
        let unused = if faults.draw(faults.lost_percent) {
            0
        } else {
            own.left()
        };
        holder.take_back(share, unused);
        if !faults.draw(faults.failure_percent) || !holder.spend() {
            return;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Every hop of a deep chain fails and retries. With three retries per hop, depth 8 gives
    /// 65,536 attempts. With one allotment for the whole tree, retries are bounded by the
    /// allotment. Calls made again below a retried attempt count as calls of that attempt.
    #[test]
    fn attempts_are_calls_plus_allotment_at_most(
        seed: u64,
        granted in 0_u16..40,
        depth in 1_u8..=8,
        fan_out in 1_u8..=3,
        failure_percent in 0_u8..=100,
        lost_percent in 0_u8..=100,
    ) {
        let random = fastrand::Rng::with_seed(seed);
        let mut faults = RandomFaults { random, failure_percent, lost_percent };
        let mut root = Allotment::new(granted);
        let mut tree = Tree::default();
        simulate_call(depth, fan_out, &mut root, &mut faults, &mut tree);
        let bound = tree.calls + u64::from(granted);
        prop_assert!(tree.attempts <= bound, "{tree:?} granted={granted}");
    }

    /// A child reports more unused allotment than it was given. If accepted, this would create
    /// allotment.
    #[test]
    fn allotment_is_never_created(granted in 0_u16..40, claims in proptest::collection::vec(0_u16..100, 0..20)) {
        let mut holder = Allotment::new(granted);
        for claim in claims {
            let share = holder.hand_out();
            holder.take_back(share, claim);
            prop_assert!(holder.left() <= granted);
        }
    }
}

/// All targets shed, and each hop could retry. The backend servers must see at most one attempt per
/// call plus the allotment, and overload must not cause a retry at a target without room.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_chain_that_sheds_is_not_flooded() {
    let runs = Arc::new(AtomicU32::new(0));
    let mut mesh = TestMesh::new();
    for name in ["one", "two", "three"] {
        let counted = runs.clone();
        mesh.add(name, "orders", move |_, _| {
            counted.fetch_add(1, Ordering::SeqCst);
            async { shed() }
        })
        .await;
    }
    let got = mesh.get(0, "/orders/7").await;
    assert_eq!(got.status, 503, "{got:?}");
    assert_eq!(got.header("sassafrasgap-reason"), "backend_shed");
    assert_eq!(got.header("sassafrasgap-outcome"), "not_run");
    assert!(runs.load(Ordering::SeqCst) <= 1 + 3);
}

fn shed() -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let shed = HeaderValue::from_static("1");
    response.headers_mut().insert("sassafrasgap-shed", shed);
    response
}

/// One target's node is gone but still listed. The call must reach the other target, also if it is
/// non-idempotent: no connection was made, so nothing was started.
#[tokio::test]
async fn an_unreachable_target_is_skipped() {
    let mut mesh = TestMesh::new();
    mesh.add("one", "menus", |_, _| async {
        Response::new(full_body(""))
    })
    .await;
    mesh.add("two", "orders", |_, _| async {
        Response::new(full_body("ran"))
    })
    .await;
    let gone = SocketAddr::from(([127, 0, 0, 1], 1));
    mesh.add_external_target("three", "orders", gone);
    for _ in 0..8 {
        let got = mesh.post(0, "/orders/7", "two sacks").await;
        assert_eq!(&got.body[..], b"ran", "{got:?}");
    }
    assert!(mesh.nodes[0].node.metrics.retries(RetryReason::Unreachable) <= 8);
}

/// A backend server makes a call without the context of its parent. The call is then a root of its
/// own and must get no retries, which the allotment of the real root would not bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_call_without_context_gets_no_retries() {
    let mut mesh = TestMesh::new();
    mesh.add("one", "kitchen", |_, _| async {
        Response::new(full_body(""))
    })
    .await;
    let gone = SocketAddr::from(([127, 0, 0, 1], 1));
    for name in ["two", "three"] {
        mesh.add_external_target(name, "orders", gone);
    }
    let uri = format!("http://{}/orders/7", mesh.nodes[0].local_address);
    let got = mesh
        .send(Request::get(uri).body(full_body("")).expect("valid"))
        .await;
    assert_eq!(got.status, 503, "{got:?}");
    let metrics = &mesh.nodes[0].node.metrics;
    assert_eq!(metrics.roots_without_context.get(), 1);
    assert_eq!(metrics.retries(RetryReason::Unreachable), 0);
}

/// A caller resends an order through another node while the first attempt runs, and once more
/// later. The order must run once, and all three get its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resends_with_the_key_of_a_live_call_join_it() {
    let runs = Arc::new(AtomicU32::new(0));
    let counted = runs.clone();
    let mut mesh = TestMesh::new();
    mesh.add("one", "orders", move |_, _| {
        let run = counted.fetch_add(1, Ordering::SeqCst) + 1;
        async move {
            tokio::time::sleep(Duration::from_millis(200)).await;
            Response::new(full_body(format!("run {run}")))
        }
    })
    .await;
    mesh.add("two", "menus", |_, _| async {
        Response::new(full_body(""))
    })
    .await;
    let order = |entry: usize, body: &'static str| {
        let request = Request::post(mesh.uri(entry, "/orders/7"))
            .header("idempotency-key", "order-7")
            .body(full_body(body))
            .expect("valid");
        mesh.send(request)
    };
    let (first, second) = tokio::join!(order(0, "two sacks"), order(1, "two sacks"));
    let third = order(1, "two sacks").await;
    for got in [first, second, third] {
        assert_eq!(&got.body[..], b"run 1", "{got:?}");
        assert_eq!(got.header("sassafrasgap-outcome"), "ran");
    }
    let other = order(0, "three sacks").await;
    assert_eq!(other.status, 422, "{other:?}");
    assert_eq!(other.header("sassafrasgap-reason"), "key_mismatch");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
    let metrics = &mesh.nodes[0].node.metrics;
    assert_eq!(metrics.joined_calls.get(), 1);
    assert_eq!(metrics.repeated_answers.get(), 1);
}

/// A caller sends an order without a key and disconnects while it runs. Cancelling would leave it
/// half done, so it must run to its end. A read must be cancelled instead.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_runs_to_its_end_after_its_caller_disconnects() {
    let ended = Arc::new(AtomicU32::new(0));
    let counted = ended.clone();
    let mut mesh = TestMesh::new();
    mesh.add("one", "orders", move |request: Request<Body>, _| {
        let counted = counted.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(150)).await;
            let weight = if request.method() == "POST" { 1 } else { 100 };
            counted.fetch_add(weight, Ordering::SeqCst);
            Response::new(full_body("ran"))
        }
    })
    .await;
    for method in ["POST", "GET"] {
        let request = Request::builder()
            .method(method)
            .uri(mesh.uri(0, "/orders/7"))
            .body(full_body(""))
            .expect("valid");
        let answer = mesh.client.request(request);
        let gone = tokio::time::timeout(Duration::from_millis(50), answer).await;
        assert!(gone.is_err(), "the caller disconnects first");
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(ended.load(Ordering::SeqCst), 1);
    assert_eq!(mesh.nodes[0].node.calls_in_flight(), 0);
}
