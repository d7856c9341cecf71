//! A backend server that stops in the middle of an answer, at the product's own interface.

#[path = "../platform/tests/support/cut_target.rs"]
mod cut_target;
#[path = "../platform/tests/support/raw_request.rs"]
mod raw_request;
mod support;

use http::Response;
use http_body_util::BodyExt;
use rstest::rstest;

use sassafrasgap::adapters::full_body;

use cut_target::CutBy;
use cut_target::CutTarget;
use support::test_mesh::TestMesh;
use support::test_mesh::node_settings;
use support::test_mesh::plain_preset;

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\ntwelve bytes";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n";

/// Guards against a success that looks whole: the backend server stops at any byte of its answer to
/// a call through its own node or another one.
#[rstest]
#[tokio::test]
async fn an_answer_that_ends_early_never_looks_whole(
    #[values(WITH_LENGTH, CHUNKED)] answer: &'static str,
    #[values(CutBy::Close, CutBy::Reset, CutBy::HalfClose)] cut_by: CutBy,
) {
    let mut mesh = TestMesh::new();
    mesh.add("one", "menus", |_, _| async {
        Response::new(full_body("menu"))
    })
    .await;
    let target = CutTarget::start(answer, cut_by);
    mesh.add_at(
        node_settings("two"),
        plain_preset(),
        "orders",
        target.address,
    )
    .await;
    assert_eq!(mesh.get(0, "/orders/1").await.status, 200);
    for length in 0..answer.len() {
        for entry in [0, 1] {
            let request = http::Request::get(mesh.uri(entry, &format!("/orders/cut-{length}")));
            let request = request.body(full_body("")).unwrap();
            let Ok(cut) = mesh.client.request(request).await else {
                continue;
            };
            let status = cut.status();
            let is_whole = cut.into_body().collect().await.is_ok();
            assert!(
                !(status.is_success() && is_whole),
                "{length} bytes: {status}"
            );
        }
    }
    assert!(target.cut_answers() >= answer.len());
}
