//! Callers against a server that answers, refuses, cuts short or mistakes one request for another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use rstest::rstest;
use serde_json::json;

use sassafrasgap::adapters::Body;
use sassafrasgap::adapters::bind;
use sassafrasgap::adapters::full_body;
use sassafrasgap::adapters::serve;
use sassafrasgap::load::AnswerCheck;
use sassafrasgap::load::AttemptEnd;
use sassafrasgap::load::CallRecord;
use sassafrasgap::load::DriveOptions;
use sassafrasgap::load::ResendPolicy;
use sassafrasgap::load::Told;
use sassafrasgap::load::Trace;
use sassafrasgap::load::TraceLine;
use sassafrasgap::load::drive;
use sassafrasgap::load::path_at_backend;
use sassafrasgap::wire::headers;

fn line(answer: AnswerCheck) -> TraceLine {
    TraceLine {
        at_ms: 0,
        call: "job".into(),
        class: "jobs".into(),
        method: "POST".into(),
        path: "/scheduler/jobs".into(),
        key: Some("k1".into()),
        body_bytes: 5,
        deadline_ms: 2_000,
        answer,
    }
}

fn path_of(request: &Request<Body>) -> String {
    let path = request.uri().path_and_query().expect("a path").as_str();
    path_at_backend(path).to_owned()
}

fn echo(path: &str) -> Response<Body> {
    let text = json!({"path": path, "key": "k1"}).to_string();
    Response::new(full_body(text))
}

async fn start<F>(answer: F) -> SocketAddr
where
    F: Fn(usize, Request<Body>) -> Response<Body> + Send + Sync + 'static,
{
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind(any_port).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let calls = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve(listener, move |request, _| {
        let answer = answer(calls.fetch_add(1, Ordering::Relaxed), request);
        async move { answer }
    }));
    address
}

async fn send(entries: Vec<SocketAddr>, line: TraceLine, resend: ResendPolicy) -> CallRecord {
    let trace = Arc::new(Trace { lines: vec![line] });
    let options = DriveOptions {
        entries,
        resend,
        show_progress: false,
    };
    let mut records = drive(trace, options).await.expect("the run ends");
    records.remove(0)
}

fn hard_resend() -> ResendPolicy {
    ResendPolicy {
        times: 3,
        wait_ms: 10,
        ..ResendPolicy::default()
    }
}

#[tokio::test]
async fn the_answer_to_its_own_request_is_good() {
    let entry = start(|_, request| echo(&path_of(&request))).await;
    let record = send(vec![entry], line(AnswerCheck::Echo), hard_resend()).await;
    assert!(record.is_good());
    assert_eq!(record.attempts.len(), 1);
}

/// A caller gets another firm's result: the answer is whole and has status 200, but it repeats the
/// path of another request.
#[tokio::test]
async fn the_answer_to_another_request_is_wrong() {
    let entry = start(|_, _| echo("/jobs?m=other")).await;
    let record = send(
        vec![entry],
        line(AnswerCheck::Echo),
        ResendPolicy::default(),
    )
    .await;
    assert_eq!(*record.end(), AttemptEnd::Wrong);
}

#[rstest]
#[case::whole("", AttemptEnd::Good)]
#[case::another("x", AttemptEnd::Wrong)]
#[tokio::test]
async fn an_archive_repeats_its_path_to_the_end(#[case] tail: &str, #[case] end: AttemptEnd) {
    let tail = tail.to_owned();
    let entry = start(move |_, request| {
        let body = format!("{}\n", path_of(&request)).repeat(5_000);
        Response::new(full_body(body + &tail))
    })
    .await;
    let record = send(
        vec![entry],
        line(AnswerCheck::Archive),
        ResendPolicy::default(),
    )
    .await;
    assert_eq!(*record.end(), end);
}

#[tokio::test]
async fn a_refusal_is_sent_again_with_the_same_key_and_path() {
    let entry = start(|call, request| {
        assert_eq!(request.headers()[headers::IDEMPOTENCY_KEY], "k1");
        if call > 1 {
            return echo(&path_of(&request));
        }
        Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header(headers::OUTCOME, "not_run")
            .header(headers::REASON, "overloaded")
            .header(headers::REQUEST_ID, "r1")
            .body(full_body(path_of(&request)))
            .expect("a response")
    })
    .await;
    let record = send(vec![entry], line(AnswerCheck::Echo), hard_resend()).await;
    assert!(record.is_good());
    assert_eq!(record.attempts.len(), 3);
    let reason = "overloaded".into();
    assert_eq!(record.attempts[0].end, AttemptEnd::Refused { reason });
    assert_eq!(record.attempts[0].told, Told::NotRun);
    assert_eq!(record.attempts[0].request_id.as_deref(), Some("r1"));
}

#[tokio::test]
async fn a_resend_goes_through_the_next_entry() {
    let gone = bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .and_then(|listener| listener.local_addr())
        .expect("a port that nobody listens on any more");
    let entry = start(|_, request| echo(&path_of(&request))).await;
    let record = send(vec![gone, entry], line(AnswerCheck::Echo), hard_resend()).await;
    assert!(record.is_good());
    assert_eq!(record.attempts[0].end, AttemptEnd::Broken);
}

#[tokio::test]
async fn a_caller_that_honours_retry_after_gives_up_when_it_outlasts_the_deadline() {
    let entry = start(|_, _| {
        Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header(headers::RETRY_AFTER_MS, "60000")
            .body(full_body(""))
            .expect("a response")
    })
    .await;
    let resend = ResendPolicy {
        honour_retry_after: true,
        ..hard_resend()
    };
    let record = send(vec![entry], line(AnswerCheck::Echo), resend).await;
    assert_eq!(*record.end(), AttemptEnd::Failed { status: 503 });
    assert_eq!(record.attempts.len(), 1);
}

#[tokio::test]
async fn silence_ends_with_the_deadline() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind(any_port).await.expect("a free port");
    let entry = listener.local_addr().expect("an address");
    tokio::spawn(serve(listener, |request: Request<Body>, _| async move {
        tokio::time::sleep(Duration::from_secs(60)).await;
        echo(&path_of(&request))
    }));
    let mut line = line(AnswerCheck::Echo);
    line.deadline_ms = 100;
    let record = send(vec![entry], line, ResendPolicy::default()).await;
    assert_eq!(*record.end(), AttemptEnd::TimedOut);
}
