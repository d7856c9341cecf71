//! A backend server of which one answer never ends, at the product's own interface.

#[path = "../platform/tests/support/endless_target.rs"]
mod endless_target;
#[path = "../platform/tests/support/raw_request.rs"]
mod raw_request;
mod support;

use std::time::Duration;
use std::time::Instant;

use http::Response;
use rstest::rstest;

use sassafrasgap::adapters::full_body;

use endless_target::EndlessBytes;
use endless_target::EndlessTarget;
use support::test_mesh::TestMesh;
use support::test_mesh::node_settings;
use support::test_mesh::plain_preset;

/// How long sound calls are made.
const CALLS_MS: u64 = 3_000;

/// The answer kept the threads of a node from all other calls, which missed their deadlines.
#[rstest]
#[case::interim(&[], "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")]
#[case::chunk_size(&["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"], "0")]
#[tokio::test]
async fn calls_meet_their_deadlines_beside_an_answer_without_end(
    #[case] begin: &'static [&'static str],
    #[case] repeated: &'static str,
) {
    let mut mesh = TestMesh::new();
    mesh.add("one", "menus", |_, _| async {
        Response::new(full_body("menu"))
    })
    .await;
    let target = EndlessTarget::start(EndlessBytes { begin, repeated }, 0);
    mesh.add_at(
        node_settings("two"),
        plain_preset(),
        "orders",
        target.address,
    )
    .await;
    let mesh = &mesh;
    let sound = async {
        let deadline = Instant::now() + Duration::from_millis(CALLS_MS);
        let mut longest = Duration::ZERO;
        while Instant::now() < deadline {
            let begin = Instant::now();
            assert_eq!(mesh.get(0, "/menus/1").await.status, 200);
            longest = longest.max(begin.elapsed());
        }
        longest
    };
    let request = http::Request::get(mesh.uri(0, "/orders/endless"));
    let request = request.body(full_body("")).unwrap();
    let endless = mesh.client.request(request);
    let longest = tokio::select! {
        longest = sound => longest,
        Ok(answer) = endless => panic!("answered early, status={}", answer.status()),
    };
    assert!(target.open() > 0, "the answer has ended");
    let deadline_ms = plain_preset().classes[0].deadline_ms;
    assert!(
        longest <= Duration::from_millis(deadline_ms.into()),
        "{longest:?}"
    );
}
