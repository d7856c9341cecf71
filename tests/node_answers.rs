//! Callers get the complete answer to their own call, or an error.

mod support;

use std::net::SocketAddr;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use sassafrasgap::adapters::Body;
use sassafrasgap::adapters::bind;
use sassafrasgap::adapters::full_body;
use sassafrasgap::adapters::serve;
use sassafrasgap::core::AttemptId;
use sassafrasgap::core::Priority;
use sassafrasgap::core::RetryReason;
use sassafrasgap::core::RunState;
use sassafrasgap::wire::AnswerHeader;
use sassafrasgap::wire::CallHeader;
use sassafrasgap::wire::LoadReport;

use support::test_mesh::TestMesh;
use support::test_mesh::loopback;
use support::test_mesh::node_settings;
use support::test_mesh::plain_preset;

const LARGE_BYTES: usize = 300_000;

async fn hello(_request: Request<Body>, _local: SocketAddr) -> Response<Body> {
    Response::new(full_body("hello"))
}

async fn large(_request: Request<Body>, _local: SocketAddr) -> Response<Body> {
    Response::new(full_body(vec![7_u8; LARGE_BYTES]))
}

async fn upload_len(request: Request<Body>, _local: SocketAddr) -> Response<Body> {
    let body = request.into_body().collect().await;
    let text = body.map_or("cut".to_owned(), |body| body.to_bytes().len().to_string());
    Response::new(full_body(text))
}

/// The fault in the answer of a simulated guard.
#[derive(Clone, Copy, Debug)]
enum AnswerFault {
    OtherAttempt,
    OtherLength,
    NoHeader,
    OtherVersion,
}

async fn faulty_peer(fault: AnswerFault) -> SocketAddr {
    let listener = bind(loopback()).await.expect("a port is free");
    let address = listener.local_addr().expect("the port is bound");
    tokio::spawn(serve(listener, move |request, _| async move {
        let call = CallHeader::from_headers(request.headers()).expect("a node sends it");
        let mut response = Response::new(full_body("for another caller"));
        if let Some(value) = faulty_header(fault, &call) {
            let value = HeaderValue::from_str(&value).expect("base64");
            response.headers_mut().insert("sassafrasgap-answer", value);
        }
        response
    }));
    address
}

fn faulty_header(fault: AnswerFault, call: &CallHeader) -> Option<String> {
    let mut header = AnswerHeader {
        attempt: call.attempt,
        run_state: RunState::Ran,
        refusal: None,
        allotment_unused: call.allotment,
        admit: Priority::LOWEST,
        load: LoadReport::default(),
        config_version: 0,
        body_len: Some(18),
        owner: None,
    };
    match fault {
        AnswerFault::OtherAttempt => header.attempt = AttemptId(7),
        AnswerFault::OtherLength => header.body_len = Some(19),
        AnswerFault::NoHeader => return None,
        AnswerFault::OtherVersion => return Some("Ag".to_owned()),
    }
    Some(header.encode())
}

/// A relay mixes up answers, or a peer has a fault, so the answer belongs to another call or is
/// incomplete. The caller must not receive it. An idempotent call goes to another target. Of a
/// non-idempotent one it is unknown whether it ran.
#[rstest]
#[case::other_attempt(AnswerFault::OtherAttempt)]
#[case::other_length(AnswerFault::OtherLength)]
#[case::no_header(AnswerFault::NoHeader)]
#[case::other_version(AnswerFault::OtherVersion)]
#[tokio::test]
async fn an_invalid_answer_is_never_forwarded(#[case] fault: AnswerFault) {
    let mut mesh = TestMesh::new();
    let entry = mesh.add("one", "menus", hello).await;
    mesh.add_external_target("two", "orders", faulty_peer(fault).await);
    mesh.add_external_target("three", "orders", faulty_peer(fault).await);
    let read = mesh.get(entry, "/orders/7").await;
    assert_eq!(read.status, 503, "{read:?}");
    assert_eq!(read.header("sassafrasgap-outcome"), "unknown");
    let order = mesh.post(entry, "/orders/7", "two sacks").await;
    assert_eq!(order.status, 503, "{order:?}");
    assert_eq!(order.header("sassafrasgap-outcome"), "unknown");
    let metrics = &mesh.nodes[entry].node.metrics;
    assert_eq!(metrics.wrong_answers.get(), 3);
    assert_eq!(metrics.retries(RetryReason::ConnectionLost), 1);
}

/// A backend server that answers each connection with the same bytes and closes it.
async fn raw_backend(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.expect("a port is free");
    let address = listener.local_addr().expect("the port is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(answer.as_bytes()).await;
                let _ = stream.shutdown().await;
            });
        }
    });
    address
}

/// A backend server disconnects in the middle of its answer, or sends no length, so that the end
/// looks like a broken connection. The caller must get an error instead of the truncated answer.
#[rstest]
#[case::shorter("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfour")]
#[case::truncated_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n")]
#[case::no_end("HTTP/1.1 200 OK\r\n\r\nfour")]
#[case::no_http("what?")]
#[case::nothing("")]
#[tokio::test]
async fn a_truncated_answer_is_an_error(#[case] answer: &'static str) {
    let mut mesh = TestMesh::new();
    let address = raw_backend(answer).await;
    let entry = mesh
        .add_at(node_settings("one"), plain_preset(), "orders", address)
        .await;
    let got = mesh.post(entry, "/orders/7", "two sacks").await;
    assert_eq!(got.status, 502, "{got:?}");
    assert_eq!(got.header("sassafrasgap-reason"), "backend_broke");
    assert_eq!(got.header("sassafrasgap-outcome"), "unknown");
}

#[tokio::test]
async fn nothing_beyond_the_announced_length_is_forwarded() {
    let mut mesh = TestMesh::new();
    let address = raw_backend("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour and more").await;
    let entry = mesh
        .add_at(node_settings("one"), plain_preset(), "orders", address)
        .await;
    let got = mesh.get(entry, "/orders/7").await;
    assert_eq!(&got.body[..], b"four");
}

/// Nothing listens at the backend server's address, so no call was started and the outcome is
/// `not_run`.
#[tokio::test]
async fn a_call_to_a_stopped_backend_server_was_not_run() {
    let mut mesh = TestMesh::new();
    let gone = bind(loopback()).await.expect("a port is free");
    let address = gone.local_addr().expect("the port is bound");
    drop(gone);
    let entry = mesh
        .add_at(node_settings("one"), plain_preset(), "orders", address)
        .await;
    let got = mesh.post(entry, "/orders/7", "two sacks").await;
    assert_eq!(got.status, 503, "{got:?}");
    assert_eq!(got.header("sassafrasgap-reason"), "backend_down");
    assert_eq!(got.header("sassafrasgap-outcome"), "not_run");
}

#[tokio::test]
async fn large_bodies_are_streamed_in_both_directions() {
    let mut mesh = TestMesh::new();
    let entry = mesh.add("one", "archives", large).await;
    mesh.add("two", "uploads", upload_len).await;
    let got = mesh.get(entry, "/archives/7").await;
    assert_eq!(got.body.len(), LARGE_BYTES);
    assert!(got.body.iter().all(|byte| *byte == 7));
    let request = Request::post(mesh.uri(entry, "/uploads/photo"));
    let request = request.body(full_body(vec![1_u8; LARGE_BYTES]));
    let got = mesh.send(request.expect("valid")).await;
    assert_eq!(&got.body[..], LARGE_BYTES.to_string().as_bytes());
}

async fn fails_midway(_request: Request<Body>, _local: SocketAddr) -> Response<Body> {
    let good = (0..20).map(|_| Ok(Frame::data(Bytes::from(vec![7_u8; 16_384]))));
    let bad = [Err(std::io::Error::other("the disk failed"))];
    let body = StreamBody::new(stream::iter(good.chain(bad)));
    Response::new(body.boxed_unsync())
}

/// The backend server of a streamed answer fails after 300 KB, when the caller already has a
/// successful head. The caller must see an error, or it takes the truncated answer for a complete
/// one.
#[tokio::test]
async fn a_failed_stream_closes_the_callers_connection() {
    let mut mesh = TestMesh::new();
    let entry = mesh.add("one", "archives", fails_midway).await;
    let request = Request::get(mesh.uri(entry, "/archives/7")).body(full_body(""));
    let response = mesh.client.request(request.expect("valid")).await;
    let response = response.expect("the head comes");
    assert_eq!(response.status(), 200);
    let body = response.into_body().collect().await;
    assert!(body.is_err(), "a truncated archive must end in an error");
    assert!(mesh.nodes[entry].node.metrics.broken_answers.get() >= 1);
}

async fn stalls(_request: Request<Body>, _local: SocketAddr) -> Response<Body> {
    let good = (0..20).map(|_| Ok(Frame::data(Bytes::from(vec![7_u8; 16_384]))));
    let body = StreamBody::new(stream::iter(good).chain(stream::pending()));
    Response::new(body.boxed_unsync())
}

/// A streamed answer stalls after 300 KB without a closed connection. It must be aborted with a
/// visible error, or the caller waits indefinitely.
#[tokio::test]
async fn a_streamed_answer_that_stalls_is_aborted() {
    let mut mesh = TestMesh::new();
    let mut settings = node_settings("one");
    settings.silence_ms = 50;
    let entry = mesh
        .add_with(settings, plain_preset(), "archives", stalls)
        .await;
    let request = Request::get(mesh.uri(entry, "/archives/7")).body(full_body(""));
    let response = mesh.client.request(request.expect("valid")).await;
    let response = response.expect("the head comes");
    let body = response.into_body().collect().await;
    assert!(body.is_err(), "a truncated archive must end in an error");
    assert!(mesh.nodes[entry].node.metrics.broken_answers.get() >= 1);
}
