//! A backend server that names a rate in its answers, on the product's own interface.

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

/// What a backend server does: the rate that it names, and when calls arrived.
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

    fn name(&self, rate: Option<&'static str>) {
        *self.rate.lock().unwrap() = rate;
    }

    fn most_in_a_window(&self) -> usize {
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

/// Guards against a backend server that names a rate and gets all that it got before.
#[tokio::test]
async fn a_named_rate_bounds_what_the_backend_server_gets() {
    let (mesh, entry, limited) = mesh().await;
    limited.name(Some("5"));
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
    let most = limited.most_in_a_window();
    assert!(most <= 35, "{most} of 35");
    assert!(refused > 100, "{refused}");
}

/// Guards against a limit that stays after the backend server named none any more.
#[tokio::test]
async fn a_rate_that_is_named_no_more_bounds_nothing() {
    let (mesh, entry, limited) = mesh().await;
    limited.name(Some("5"));
    assert_eq!(mesh.get(entry, "/orders/first").await.status, 200);
    limited.name(None);
    let mut served_in_row = 0;
    for order in 0..100 {
        let status = mesh.get(entry, &format!("/orders/{order}")).await.status;
        served_in_row = if status == 200 { served_in_row + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(served_in_row >= 30, "{served_in_row}");
}
