//! A backend server that advertises a rate in its answers, on this product's own interface.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::Request;
use http::Response;

use sassafrasgap::adapters::Body;
use sassafrasgap::adapters::full_body;

use support::test_mesh::TestMesh;

const WINDOW: Duration = Duration::from_secs(4);

/// The state of a backend server: the rate it advertises, and when calls arrived.
#[derive(Clone, Default)]
struct Limited {
    rate: Arc<Mutex<Option<&'static str>>>,
    arrived: Arc<Mutex<Vec<Instant>>>,
}

impl Limited {
    async fn serve(self) -> Response<Body> {
        self.arrived.lock().unwrap().push(Instant::now());
        let mut answer = Response::new(full_body("ran"));
        if let Some(rate) = *self.rate.lock().unwrap() {
            let rate = HeaderValue::from_static(rate);
            let headers = answer.headers_mut();
            headers.insert("sassafrasgap-rate-limit", rate);
        }
        answer
    }

    fn advertise(&self, rate: Option<&'static str>) {
        *self.rate.lock().unwrap() = rate;
    }

    fn max_in_window(&self) -> usize {
        let arrived = self.arrived.lock().unwrap();
        let within = |first: &Instant| {
            let last = *first + WINDOW;
            arrived
                .iter()
                .filter(|at| **at >= *first && **at < last)
                .count()
        };
        arrived.iter().map(within).max().unwrap_or(0)
    }
}

async fn mesh() -> (TestMesh, usize, Limited) {
    let mut mesh = TestMesh::new();
    let limited = Limited::default();
    let served = limited.clone();
    let handler = move |_: Request<Body>, _: SocketAddr| served.clone().serve();
    let entry = mesh.add("one", "orders", handler).await;
    (mesh, entry, limited)
}

/// Fails if a backend server that advertises a rate still gets all calls.
#[tokio::test]
async fn an_advertised_rate_limits_calls_to_the_backend_server() {
    let (mesh, entry, limited) = mesh().await;
    limited.advertise(Some("5"));
    assert_eq!(mesh.get(entry, "/orders/first").await.status, 200);
    let mesh = &mesh;
    let sends = (0..220_u32).map(|order| async move {
        tokio::time::sleep(Duration::from_millis(20) * order).await;
        mesh.get(entry, &format!("/orders/{order}")).await
    });
    let mut refused = 0;
    for got in futures::future::join_all(sends).await {
        if got.status != 200 {
            let reason = got.header("sassafrasgap-reason");
            assert!(
                ["rate_limited", "wait_exceeded"].contains(&reason),
                "{reason}"
            );
            assert_eq!(got.header("sassafrasgap-outcome"), "not_run");
            refused += 1;
        }
    }
    // At 5 calls per second, the token bucket grants at most 1 + (0.5 + 4) x 5 = 23 calls in 4 s.
    let max_calls = limited.max_in_window();
    assert!(max_calls <= 35, "{max_calls} of 35");
    assert!(refused > 100, "{refused}");
}

/// Fails if the limit stays in force after the backend server stops advertising it.
#[tokio::test]
async fn a_withdrawn_rate_limits_nothing() {
    let (mesh, entry, limited) = mesh().await;
    limited.advertise(Some("5"));
    assert_eq!(mesh.get(entry, "/orders/first").await.status, 200);
    limited.advertise(None);
    let mut served_in_row = 0;
    for order in 0..100 {
        let status = mesh.get(entry, &format!("/orders/{order}")).await.status;
        served_in_row = if status == 200 { served_in_row + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(served_in_row >= 30, "{served_in_row}");
}
