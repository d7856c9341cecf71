//! Runs an admitted call at the local backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http_body_util::Full;
use tokio::time::timeout;

use crate::adapters::WholeAnswer;
use crate::admission::CallOutcome;
use crate::admission::Completion;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::errors::SendError;
use crate::node::permit::Permit;
use crate::poison::RunningRequest;
use crate::traffic::backend_answer::check;
use crate::traffic::backend_answer::matches_id;
use crate::traffic::call::GuardedCall;
use crate::traffic::call::Progress;
use crate::traffic::guard::not_run;
use crate::traffic::passed_headers::strip_answer;
use crate::traffic::traffic::Traffic;

/// Retry-after when the backend server failed, in milliseconds.
const FAILED_RETRY_AFTER_MS: u64 = 300;

/// The outcome of a call at the backend server.
pub(super) struct BackendEnd {
    pub result: Result<WholeAnswer, Refusal>,
    pub reached_backend: bool,
}

impl BackendEnd {
    /// The call was not sent.
    pub(super) fn not_sent(refusal: Refusal) -> Self {
        Self {
            result: Err(refusal),
            reached_backend: false,
        }
    }

    fn sent(result: Result<WholeAnswer, Refusal>) -> Self {
        Self {
            result,
            reached_backend: true,
        }
    }
}

/// Runs a call until its deadline. Dropping the future closes the connection to the backend server,
/// which then stops working on the call.
pub(super) async fn run(
    traffic: &Arc<Traffic>,
    call: GuardedCall,
    incarnation: Name,
    mut permit: Permit,
    progress: &Progress,
) -> BackendEnd {
    let _running = traffic
        .running
        .enter(&call.hop.route, call.hop.repeated_permille);
    let suspect = call.suspect;
    let left_ms = call.deadline.since(traffic.clock.now());
    let exchange = exchange(traffic, call, &incarnation, left_ms, progress);
    let end = match timeout(Duration::from_millis(left_ms), exchange).await {
        Ok(end) => end,
        // Connecting can take longer than the call has left.
        Err(_) if progress.cancel_unsent() => {
            BackendEnd::not_sent(not_run(RefusalReason::DeadlineExceeded))
        }
        Err(_) => BackendEnd::sent(Err(unknown(RefusalReason::DeadlineExceeded))),
    };
    let outcome = match &end.result {
        Ok(answer) if answer.status.is_server_error() => CallOutcome::Failed,
        Ok(_) => CallOutcome::Ok,
        Err(refusal) if refusal.reason == RefusalReason::BackendShed => CallOutcome::Shed,
        Err(refusal) if refusal.reason == RefusalReason::DeadlineExceeded => CallOutcome::Cancelled,
        Err(_) => CallOutcome::Failed,
    };
    traffic.record_end(outcome != CallOutcome::Ok);
    if outcome == CallOutcome::Ok {
        traffic.poison.record_success(&suspect);
    }
    let service_us = traffic.clock.now_us().saturating_sub(permit.since_us);
    let seconds = service_us as f64 / 1e6;
    traffic.metrics.backend_latency.observe(seconds);
    permit.set_completion(Completion {
        service_us,
        child_us: 0,
        outcome,
    });
    end
}

async fn exchange(
    traffic: &Arc<Traffic>,
    call: GuardedCall,
    incarnation: &Name,
    left_ms: u64,
    progress: &Progress,
) -> BackendEnd {
    let names = &traffic.settings.header_names;
    let id = call.message.headers.get(&names.request_id).cloned();
    let id = id.as_ref();
    let method = call.message.method.clone();
    let suspect = call.suspect;
    let Some(request) = request(traffic, call, incarnation, left_ms) else {
        return BackendEnd::not_sent(not_run(RefusalReason::BadRequest));
    };
    let transmission = progress.start_sending();
    traffic.metrics.backend_calls.inc();
    let sent_at = traffic.clock.now();
    let address = traffic.live().backend_address;
    let sent = traffic
        .backend
        .send_tracked(address, request, &transmission, |response| {
            matches_id(names, id, response)
        })
        .await;
    match sent {
        Ok(mut answer) => {
            let result = check(traffic, incarnation, id, sent_at, &answer);
            strip_answer(&mut answer.headers, &method);
            BackendEnd::sent(result.map(|()| answer))
        }
        Err(error) => {
            log::debug!("guard: connection to the backend server failed, error={error}");
            lost(traffic, incarnation, suspect, &error)
        }
    }
}

fn request(
    traffic: &Traffic,
    call: GuardedCall,
    incarnation: &Name,
    left_ms: u64,
) -> Option<Request<Full<Bytes>>> {
    let names = &traffic.settings.header_names;
    let message = call.message;
    let mut request = Request::new(Full::new(message.body));
    *request.method_mut() = message.method;
    *request.uri_mut() = message.path_and_query.into();
    let mut map = message.headers;
    map.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    let incarnation = HeaderValue::from_str(incarnation).ok()?;
    map.insert(names.expected_incarnation.clone(), incarnation);
    let caller = HeaderValue::from_str(&call.hop.caller_service).ok()?;
    map.insert(names.caller_service.clone(), caller);
    if let Some(account) = &call.hop.account {
        let account = HeaderValue::from_str(&account.name).ok()?;
        map.insert(names.account.clone(), account);
    }
    *request.headers_mut() = map;
    Some(request)
}

fn lost(
    traffic: &Traffic,
    incarnation: &Name,
    suspect: RunningRequest,
    error: &SendError,
) -> BackendEnd {
    if error.is_unsent() {
        // Only a refused connection shows that the backend server is down. One that was open may
        // have been closed for other reasons.
        if matches!(error, SendError::Connect(_)) {
            traffic.update_local(|local| local.mark_down(incarnation));
        }
        return BackendEnd::not_sent(not_run(RefusalReason::BackendDown));
    }
    traffic.poison.record_broken(suspect);
    BackendEnd::sent(Err(unknown(RefusalReason::BackendBroke)))
}

fn unknown(reason: RefusalReason) -> Refusal {
    let retry_after_ms = FAILED_RETRY_AFTER_MS + fastrand::u64(..FAILED_RETRY_AFTER_MS);
    Refusal::unknown(reason, retry_after_ms)
}
