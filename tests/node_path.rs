//! The complete path of a call: caller, entry, guard, backend server, its local node, next guard.

mod support;

use std::net::SocketAddr;

use http::Request;
use http::Response;
use http_body_util::BodyExt;

use sassafrasgap::adapters::Body;
use sassafrasgap::adapters::full_body;
use sassafrasgap::adapters::http_client;

use support::test_mesh::TestMesh;
use support::test_mesh::send;

async fn echo(request: Request<Body>, _local: SocketAddr) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .expect("the request is whole")
        .to_bytes();
    let text = format!(
        "{} {} {} key={}",
        parts.method,
        parts.uri,
        String::from_utf8_lossy(&body),
        parts
            .headers
            .get("idempotency-key")
            .map_or("", |key| key.to_str().unwrap_or("?")),
    );
    Response::new(full_body(text))
}

/// Calls `catalogue` on behalf of the request being served.
async fn notebooks(request: Request<Body>, local: SocketAddr) -> Response<Body> {
    let child = Request::get(format!("http://{local}/catalogue/sets?of=7"))
        .header(
            "sassafrasgap-context",
            &request.headers()["sassafrasgap-context"],
        )
        .body(full_body(""))
        .expect("valid");
    let got = send(&http_client(1_000, 500), child).await;
    let text = format!(
        "opened with {} [{}]",
        got.header("sassafrasgap-request-id"),
        String::from_utf8_lossy(&got.body)
    );
    Response::new(full_body(text))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_call_goes_through_two_services_and_back() {
    let mut mesh = TestMesh::new();
    let entry = mesh.add("one", "ementas", echo).await;
    mesh.add("two", "notebooks", notebooks).await;
    mesh.add("three", "catalogue", echo).await;
    let got = mesh.get(entry, "/notebooks/open").await;
    let request = got.header("sassafrasgap-request-id");
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.header("sassafrasgap-outcome"), "ran");
    let expected = format!("opened with {request} [GET /sets?of=7  key=]");
    assert_eq!(String::from_utf8_lossy(&got.body), expected);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn method_path_body_and_key_reach_the_backend_server() {
    let mut mesh = TestMesh::new();
    let entry = mesh.add("one", "compras", echo).await;
    let request = Request::post(mesh.uri(entry, "/compras/orders?site=3"))
        .header("Idempotency-Key", "order-17")
        .body(full_body("two sacks"))
        .expect("valid");
    let got = mesh.send(request).await;
    let expected = "POST /orders?site=3 two sacks key=order-17";
    assert_eq!(String::from_utf8_lossy(&got.body), expected);
}
