//! One attempt: sends a call to the guard of one target and returns the outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body::Body as _;
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::adapters::Body;
use crate::adapters::HttpClient;
use crate::adapters::full_body;
use crate::control::KeptAnswer;
use crate::core::AttemptId;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RequestId;
use crate::core::RunState;
use crate::core::Target;
use crate::node::Node;
use crate::node::answer::Answer;
use crate::node::answer_check::check_head;
use crate::node::answer_check::check_len;
use crate::node::answer_check::is_plain_not_run;
use crate::node::body::NodeBody;
use crate::node::body::read_body;
use crate::node::call::Call;
use crate::node::caller_headers;
use crate::node::kept_answer::headers_of;
use crate::node::overdue::OverdueStatus;
use crate::node::overdue::watch_overdue;
use crate::node::targets::InFlightAttempt;
use crate::node::watched_body::BodyEnd;
use crate::node::watched_body::watched;
use crate::wire::AnswerHeader;
use crate::wire::CallHeader;
use crate::wire::headers;

/// How long after the deadline an answer is still accepted, in milliseconds. The guard's own
/// refusal is more specific than a local time-out, so it gets time to arrive.
const DEADLINE_GRACE_MS: u64 = 50;
/// The minimum retry delay after a target was lost, in milliseconds.
const LOST_RETRY_AFTER_MS: u64 = 200;

/// The outcome of an attempt.
pub(super) enum AttemptEnd {
    Answered(Answer, AnswerHeader),
    /// Refused by the guard, with its header, or lost, without one.
    Refused(Refusal, Option<AnswerHeader>),
}

/// The data of a call that is needed while its answer is awaited.
struct SentAttempt {
    attempt: AttemptId,
    request: RequestId,
    method: Method,
    non_idempotent: bool,
    /// Whether the attempt may be abandoned: the call may be sent again, or its key prevents a
    /// second run.
    may_abandon: bool,
}

/// Sends the call to one target, with `share` of its allotment, and waits for the end.
pub(super) async fn call_peer(
    node: &Arc<Node>,
    call: &mut Call,
    target: &Target,
    share: u16,
) -> AttemptEnd {
    let mut in_flight = InFlightAttempt::new(node.clone(), target.node.clone());
    let sent = SentAttempt {
        attempt: AttemptId::random(),
        request: call.request,
        method: call.method.clone(),
        non_idempotent: call.non_idempotent,
        may_abandon: !call.non_idempotent || call.key.is_some(),
    };
    let Some(request) = peer_request(node, call, target, sent.attempt, share) else {
        return lost(RefusalReason::BadRequest, RunState::NotRun);
    };
    let left_ms = call.deadline.since(node.inputs.clock.now()) + DEADLINE_GRACE_MS;
    let end = watched_exchange(node, &sent, request, target, &mut in_flight);
    match timeout(Duration::from_millis(left_ms), end).await {
        Ok(AttemptEnd::Answered(answer, header)) => {
            AttemptEnd::Answered(track_body(node, answer, in_flight), header)
        }
        Ok(refused) => refused,
        Err(_) => lost(RefusalReason::DeadlineExceeded, RunState::Unknown),
    }
}

/// Waits for the answer, or for the guard's report on an attempt whose connection is half-open. The
/// connection is then dropped together with the future that waits on it.
async fn watched_exchange(
    node: &Arc<Node>,
    sent: &SentAttempt,
    request: Request<Body>,
    target: &Target,
    in_flight: &mut InFlightAttempt,
) -> AttemptEnd {
    let client = node.peer_client.load_full();
    let overdue = tokio::select! {
        end = exchange(node, &client, sent, request, in_flight) => return end,
        overdue = watch_overdue(node, target, sent.attempt, sent.may_abandon) => overdue,
    };
    log::info!(
        "entry: a connection is half-open, peer={} attempt={}",
        target.node,
        sent.attempt
    );
    node.metrics.silent_connections.inc();
    node.renew_peer_client(&client);
    match overdue {
        OverdueStatus::NeverSeen => lost(RefusalReason::Revoked, RunState::NotRun),
        OverdueStatus::Answered(kept) => receive(node, sent, response_of(&kept), in_flight).await,
        OverdueStatus::AnswerNotKept => lost(
            RefusalReason::PeerLost,
            ran_if_non_idempotent(sent.non_idempotent),
        ),
        OverdueStatus::Forgotten => lost(RefusalReason::PeerLost, RunState::Unknown),
        OverdueStatus::Unreachable => {
            in_flight.lost();
            lost(RefusalReason::PeerLost, RunState::Unknown)
        }
    }
}

fn response_of(kept: &KeptAnswer) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::copy_from_slice(&kept.body)));
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    *response.headers_mut() = headers_of(kept);
    response
}

fn peer_request(
    node: &Node,
    call: &mut Call,
    target: &Target,
    attempt: AttemptId,
    share: u16,
) -> Option<Request<Body>> {
    let header = CallHeader {
        request: call.request,
        attempt,
        priority: call.priority,
        depth: call.depth,
        deadline_left_ms: call.deadline.since(node.inputs.clock.now()) as u32,
        wait_ms: call.wait_ms,
        allotment: share,
        non_idempotent: call.non_idempotent,
        key: call.key.clone(),
        owner_stamp: call.owner_stamp,
        first_sending: call.first_sending,
        config_version: call.config_version,
        body_len: call.body.len(),
        from_node: node.settings.node.clone(),
    };
    let uri = format!("http://{}{}", target.peer_address, call.path_and_query);
    let mut request = Request::new(call.body.send_copy());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = uri.parse().ok()?;
    *request.headers_mut() = call.headers.clone();
    let value = HeaderValue::from_str(&header.encode()).ok()?;
    request.headers_mut().insert(headers::CALL, value);
    Some(request)
}

async fn exchange(
    node: &Arc<Node>,
    client: &HttpClient,
    sent: &SentAttempt,
    request: Request<Body>,
    in_flight: &mut InFlightAttempt,
) -> AttemptEnd {
    match client.request(request).await {
        Ok(response) => {
            let (parts, body) = response.into_parts();
            let body = body.map_err(std::io::Error::other).boxed_unsync();
            receive(node, sent, Response::from_parts(parts, body), in_flight).await
        }
        Err(error) => {
            in_flight.lost();
            log::debug!(
                "entry: call to a peer failed, request={} error={error}",
                sent.request
            );
            lost(RefusalReason::PeerLost, run_state_of(&error))
        }
    }
}

/// Checks and reads an answer, whether it came from the connection or from the guard's record.
async fn receive(
    node: &Node,
    sent: &SentAttempt,
    response: Response<Body>,
    in_flight: &mut InFlightAttempt,
) -> AttemptEnd {
    let body_len = response.body().size_hint().exact();
    match check_head(response.headers(), sent.attempt, body_len) {
        Ok(header) => {
            in_flight.reported(&header);
            read_answer(node, sent, response, header).await
        }
        Err(error) if is_plain_not_run(response.headers(), &error) => {
            lost(RefusalReason::PeerVersion, RunState::NotRun)
        }
        Err(error) => {
            node.metrics.wrong_answers.inc();
            log::warn!(
                "entry: dropped an invalid answer, request={} error={error}",
                sent.request
            );
            lost(RefusalReason::PeerLost, RunState::Unknown)
        }
    }
}

fn ran_if_non_idempotent(non_idempotent: bool) -> RunState {
    if non_idempotent {
        RunState::Ran
    } else {
        RunState::Unknown
    }
}

/// Nothing was sent if no connection could be made. After that the call may have run.
fn run_state_of(error: &hyper_util::client::legacy::Error) -> RunState {
    if error.is_connect() {
        RunState::NotRun
    } else {
        RunState::Unknown
    }
}

async fn read_answer(
    node: &Node,
    sent: &SentAttempt,
    response: Response<Body>,
    header: AnswerHeader,
) -> AttemptEnd {
    if let Some(refusal) = header.refusal {
        return AttemptEnd::Refused(refusal, Some(header));
    }
    let (mut parts, body) = response.into_parts();
    caller_headers::strip_answer(&mut parts.headers, &sent.method);
    let body = match read_body(body, node.settings.max_held_body_bytes).await {
        Ok(body) if check_len(&header, body.len()).is_ok() => body,
        _ => {
            node.metrics.wrong_answers.inc();
            return truncated(sent, &header);
        }
    };
    let answer = Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    };
    AttemptEnd::Answered(answer, header)
}

/// Handles an answer that was truncated on its way. For a non-idempotent call the run state is
/// known and reported. An idempotent call counts as lost, so that it may be sent again.
fn truncated(sent: &SentAttempt, header: &AnswerHeader) -> AttemptEnd {
    let run_state = if sent.non_idempotent {
        header.run_state
    } else {
        RunState::Unknown
    };
    lost(RefusalReason::PeerLost, run_state)
}

fn lost(reason: RefusalReason, run_state: RunState) -> AttemptEnd {
    let refusal = Refusal {
        reason,
        run_state,
        retry_after_ms: LOST_RETRY_AFTER_MS + fastrand::u64(..LOST_RETRY_AFTER_MS),
    };
    AttemptEnd::Refused(refusal, None)
}

/// Counts a streamed answer as in flight until its end, and checks its length meanwhile.
fn track_body(node: &Arc<Node>, mut answer: Answer, in_flight: InFlightAttempt) -> Answer {
    if let NodeBody::Streamed { body, len } = answer.body {
        let stall_ms = node.stall_ms();
        let node = node.clone();
        let on_end = move |end| {
            if end == BodyEnd::Broken {
                node.metrics.broken_answers.inc();
            }
            drop(in_flight);
        };
        let body = watched(body, len, stall_ms, on_end);
        answer.body = NodeBody::Streamed { body, len };
    }
    answer
}
