//! Invalid input of callers and other nodes is refused with a reason and counted, and nothing
//! crashes.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use sassafrasgap::adapters::Body;
use sassafrasgap::adapters::full_body;
use sassafrasgap::core::RefusalReason;
use sassafrasgap::wire::PROTOCOL_VERSION;

use support::test_mesh::ClientResponse;
use support::test_mesh::TestMesh;

/// A backend server that answers with the internal headers it received and counts its runs.
struct Backend {
    runs: Arc<AtomicU32>,
}

impl Backend {
    async fn mesh() -> (TestMesh, Self) {
        let runs = Arc::new(AtomicU32::new(0));
        let mut mesh = TestMesh::new();
        let counted = runs.clone();
        mesh.add("one", "catalogue", move |request, local| {
            counted.fetch_add(1, Ordering::SeqCst);
            headers_back(request, local)
        })
        .await;
        (mesh, Self { runs })
    }

    fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

async fn headers_back(request: Request<Body>, _local: SocketAddr) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let whole = body.collect().await.is_ok();
    let internal: Vec<String> = parts
        .headers
        .iter()
        .filter(|(name, _)| name.as_str().starts_with("sassafrasgap-"))
        .map(|(name, value)| format!("{name}={}", value.to_str().unwrap_or("?")))
        .collect();
    Response::new(full_body(format!("whole={whole} {}", internal.join(" "))))
}

fn assert_refused(got: &ClientResponse, status: u16, reason: RefusalReason, outcome: &str) {
    assert_eq!(got.status, status, "{got:?}");
    assert_eq!(got.header("sassafrasgap-reason"), reason.as_str());
    assert_eq!(got.header("sassafrasgap-outcome"), outcome);
    assert!(!got.header("retry-after").is_empty());
}

/// A caller sets a class, an allotment and the context of a live call. If they were trusted, it
/// could outrank billing and multiply its retries. The entry drops internal headers.
#[tokio::test]
async fn forged_internal_headers_are_dropped_and_counted() {
    let (mesh, _) = Backend::mesh().await;
    let request = Request::get(mesh.uri(0, "/catalogue/sets"))
        .header("sassafrasgap-call", "AQID")
        .header("sassafrasgap-context", "00000000000000000000000000000007")
        .header("sassafrasgap-request-id", "7")
        .header("sassafrasgap-deadline-ms", "900")
        .body(full_body(""))
        .expect("valid");
    let got = mesh.send(request).await;
    assert_eq!(got.status, 200, "{got:?}");
    let text = String::from_utf8_lossy(&got.body).into_owned();
    assert!(!text.contains("sassafrasgap-call"), "{text}");
    assert!(
        !text.contains("context=00000000000000000000000000000007"),
        "{text}"
    );
    assert_ne!(got.header("sassafrasgap-request-id"), "7");
    let left_ms = text.split("sassafrasgap-deadline-ms=").nth(1);
    let left_ms = left_ms.and_then(|text| text.split(' ').next()?.parse::<u64>().ok());
    assert!(left_ms.is_some_and(|left_ms| left_ms <= 900), "{text}");
    assert_eq!(mesh.nodes[0].node.metrics.forged_headers.get(), 3);
}

#[rstest]
#[case::unknown_service("/nobody/x", &[], 404, RefusalReason::UnknownService)]
#[case::no_service("/", &[], 404, RefusalReason::UnknownService)]
#[case::expired("/catalogue/x", &[("sassafrasgap-deadline-ms", "0")], 504, RefusalReason::DeadlineExceeded)]
#[case::no_number("/catalogue/x", &[("sassafrasgap-deadline-ms", "soon")], 400, RefusalReason::BadRequest)]
#[tokio::test]
async fn an_invalid_request_is_refused_at_the_entry(
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
    #[case] reason: RefusalReason,
) {
    let (mesh, backend) = Backend::mesh().await;
    let mut request = Request::get(mesh.uri(0, path));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let got = mesh.send(request.body(full_body("")).expect("valid")).await;
    assert_refused(&got, status, reason, "not_run");
    assert_eq!(mesh.nodes[0].node.metrics.entry_refusals(reason), 1);
    assert_eq!(backend.runs(), 0);
}

/// A key that no ledger accepts must not be ignored silently. The order would run without it, and a
/// second time when it is sent again.
#[rstest]
#[case::too_long(&["k"; 1], 300)]
#[case::twice(&["a", "b"], 1)]
#[case::empty(&[""], 1)]
#[tokio::test]
async fn an_invalid_key_is_refused(#[case] keys: &[&str], #[case] times: usize) {
    let (mesh, backend) = Backend::mesh().await;
    let mut request = Request::post(mesh.uri(0, "/catalogue/orders"));
    for key in keys {
        request = request.header("idempotency-key", key.repeat(times));
    }
    let got = mesh.send(request.body(full_body("")).expect("valid")).await;
    assert_refused(&got, 400, RefusalReason::BadRequest, "unknown");
    assert_eq!(backend.runs(), 0);
}

#[tokio::test]
async fn oversized_headers_are_refused() {
    let (mesh, backend) = Backend::mesh().await;
    let request = Request::get(mesh.uri(0, "/catalogue/x"))
        .header("x-large", "x".repeat(20_000))
        .body(full_body(""))
        .expect("valid");
    let got = mesh.send(request).await;
    assert_refused(&got, 413, RefusalReason::TooLarge, "not_run");
    assert_eq!(backend.runs(), 0);
}

/// A caller announces ten bytes, sends four and disconnects. If the four bytes were forwarded, half
/// an order would run. The entry waits for the announced length and drops the call.
#[tokio::test]
async fn a_truncated_request_never_reaches_the_backend_server() {
    let (mesh, backend) = Backend::mesh().await;
    let mut stream = TcpStream::connect(mesh.nodes[0].caller_address)
        .await
        .expect("the entry listens");
    let head = "POST /catalogue/orders HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nfour";
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.shutdown().await.expect("closed");
    let mut answer = Vec::new();
    stream
        .read_to_end(&mut answer)
        .await
        .expect("the entry closes");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(backend.runs(), 0);
}

/// Encodes a header that has a version and no message.
fn version_byte(version: u8) -> String {
    URL_SAFE_NO_PAD.encode([version])
}

/// A node of another protocol version forwards a call. If it were decoded wrongly, it would run
/// with wrong settings. The guard refuses it in plain headers, which every version understands.
#[rstest]
#[case::other_version(version_byte(PROTOCOL_VERSION + 1), RefusalReason::PeerVersion)]
#[case::earlier_version(version_byte(PROTOCOL_VERSION - 1), RefusalReason::PeerVersion)]
#[case::malformed(version_byte(PROTOCOL_VERSION), RefusalReason::BadRequest)]
#[case::no_base64("!!".to_owned(), RefusalReason::BadRequest)]
#[tokio::test]
async fn an_invalid_call_header_is_refused(#[case] header: String, #[case] reason: RefusalReason) {
    let (mesh, backend) = Backend::mesh().await;
    let uri = format!("http://{}/catalogue/x", mesh.nodes[0].peer_address);
    let request = Request::get(uri)
        .header("sassafrasgap-call", header)
        .body(full_body(""))
        .expect("valid");
    let got = mesh.send(request).await;
    assert_eq!(got.header("sassafrasgap-outcome"), "not_run", "{got:?}");
    assert_eq!(got.header("sassafrasgap-reason"), reason.as_str());
    assert_eq!(mesh.nodes[0].node.metrics.guard_refusals(reason), 1);
    assert_eq!(backend.runs(), 0);
}

#[tokio::test]
async fn an_invalid_announcement_is_refused() {
    let (mesh, _) = Backend::mesh().await;
    let uri = format!("http://{}/announce", mesh.nodes[0].local_address);
    let request = Request::post(uri).body(full_body("{\"service\": 7}"));
    let got = mesh.send(request.expect("valid")).await;
    assert_eq!(got.status, 400, "{got:?}");
}
