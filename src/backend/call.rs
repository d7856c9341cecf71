//! One call to the service: it waits for a slot, runs, calls on, and answers.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::adapters::Body;
use crate::backend::Answer;
use crate::backend::Backend;
use crate::backend::ChildAnswer;
use crate::backend::ChildFailure;
use crate::backend::Failure;
use crate::backend::LifeState;
use crate::backend::RouteSettings;
use crate::backend::answer::json_answer;
use crate::backend::answer::mark_shed;
use crate::backend::archive::archive_answer;
use crate::backend::backend::LiveGuard;
use crate::backend::children::Parent;
use crate::backend::children::call_children;
use crate::backend::run_book::RunGuard;
use crate::backend::run_book::RunSubject;
use crate::backend::slots::Slot;
use crate::core::TimeMs;
use crate::wire::headers;

/// The exit code of a crash, the one of a panic.
pub const CRASH_EXIT_CODE: i32 = 101;
/// What a path contains whose request crashes every backend server that runs it.
const POISON_WORD: &str = "poison";
/// A header that does the same, whatever its value.
const POISON_HEADER: &str = "x-poison";

struct Call {
    subject: RunSubject,
    parent: Parent,
    route: Option<RouteSettings>,
    poisoned: bool,
    body_bytes: u64,
    /// When the caller stops waiting, where it said so and it is honoured.
    deadline: Option<TimeMs>,
}

/// What a call holds while it waits and runs.
struct Held {
    _live: LiveGuard,
    _slot: Slot,
    run: RunGuard,
}

/// Cancels the work of a call whose caller went away.
struct CancelOnDrop(Option<AbortHandle>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}

/// Answers a call to the service.
pub async fn handle_call(backend: Arc<Backend>, request: Request<Body>) -> Response<Body> {
    count_arrival(&backend);
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return failure(
            &backend,
            StatusCode::BAD_REQUEST,
            "the body ended early",
            None,
        );
    };
    let body_bytes = body.to_bytes().len() as u64;
    let call = Call::new(&backend, &head, body_bytes);
    if let Some(why) = shed_reason(&backend) {
        return shed(&backend, why);
    }
    let Some(live) = backend.enter_live(&call.subject.request_id) else {
        return shed(&backend, "all connections are taken");
    };
    run_in_task(backend, call, live).await
}

/// Runs the call in a task of its own, so that cancellation may be honoured or ignored.
async fn run_in_task(backend: Arc<Backend>, call: Call, live: LiveGuard) -> Response<Body> {
    let behaviour = backend.behaviour();
    let number = live.number();
    let task = tokio::spawn(wait_and_run(backend.clone(), call, live));
    let abort = behaviour.honours_cancellation.then(|| task.abort_handle());
    if let Some(abort) = &abort {
        backend.set_task(number, abort.clone());
    }
    let _cancel = CancelOnDrop(abort);
    let answer = task.await;
    if backend.behaviour().silent {
        std::future::pending::<()>().await;
    }
    answer.unwrap_or_else(|_| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        failure(&backend, status, "cancelled", None)
    })
}

async fn wait_and_run(backend: Arc<Backend>, call: Call, live: LiveGuard) -> Response<Body> {
    let Some(slot) = within(&backend, call.deadline, backend.slots.take()).await else {
        backend
            .book
            .count(|counters| counters.expired_in_queue += 1);
        return shed(&backend, "the deadline passed in the queue");
    };
    let run = backend.book.start(&call.subject);
    if call.poisoned {
        log::error!("backend: poisoned request path={}", call.subject.path);
        std::process::exit(CRASH_EXIT_CODE);
    }
    let held = Held {
        _live: live,
        _slot: slot,
        run,
    };
    let Some(result) = within(&backend, call.deadline, work(&backend, &call)).await else {
        let status = StatusCode::GATEWAY_TIMEOUT;
        return failure(&backend, status, "the deadline passed", None);
    };
    answer(&backend, call, held, result)
}

async fn work(backend: &Backend, call: &Call) -> Result<Vec<ChildAnswer>, ChildFailure> {
    tokio::time::sleep(draw_service_time(backend, call)).await;
    match &call.route {
        Some(route) => call_children(backend, route, &call.parent).await,
        None => Ok(Vec::new()),
    }
}

fn answer(
    backend: &Backend,
    call: Call,
    held: Held,
    result: Result<Vec<ChildAnswer>, ChildFailure>,
) -> Response<Body> {
    let children = match result {
        Ok(children) => children,
        Err(child) => {
            backend.book.count(|counters| counters.failed_by_child += 1);
            held.run.complete();
            let status = StatusCode::BAD_GATEWAY;
            return failure(backend, status, "a further service failed", Some(child));
        }
    };
    if let Some(archive) = call.route.as_ref().and_then(|route| route.archive.as_ref()) {
        let tag = call.subject.path.clone();
        return archive_answer(archive, &tag, held, |held| held.run.complete());
    }
    let answer = Answer {
        service: backend.settings.service.clone(),
        instance: backend.instance.clone(),
        request_id: call.subject.request_id,
        method: call.subject.method,
        path: call.subject.path,
        key: call.subject.key,
        body_bytes: call.body_bytes,
        run: held.run.run(),
        children,
        padding: "x".repeat(backend.settings.padding_bytes),
    };
    held.run.complete();
    if backend.happens(backend.behaviour().fail_percent) {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        return failure(backend, status, "failed as set", None);
    }
    json_answer(StatusCode::OK, &answer)
}

impl Call {
    fn new(backend: &Backend, head: &http::request::Parts, body_bytes: u64) -> Self {
        let path = head.uri.path();
        let full_path = head.uri.path_and_query().map_or(path, |full| full.as_str());
        let method = head.method.as_str();
        let key = text(&head.headers, headers::IDEMPOTENCY_KEY);
        let deadline_ms = text(&head.headers, headers::DEADLINE_MS);
        let deadline_ms = deadline_ms.and_then(|text| text.parse().ok());
        let deadline_ms = deadline_ms.filter(|_| backend.behaviour().honours_deadlines);
        Self {
            subject: RunSubject {
                request_id: text(&head.headers, headers::REQUEST_ID).unwrap_or_default(),
                key: key.clone(),
                method: method.to_string(),
                path: full_path.to_string(),
            },
            parent: Parent {
                context: head.headers.get(headers::CONTEXT).cloned(),
                key,
            },
            route: backend.settings.route(method, path).cloned(),
            poisoned: path.contains(POISON_WORD) || head.headers.contains_key(POISON_HEADER),
            body_bytes,
            deadline: deadline_ms.map(|left_ms: u64| backend.clock.now() + left_ms),
        }
    }
}

/// The result of `future`, or none when the deadline passes first.
async fn within<T>(
    backend: &Backend,
    deadline: Option<TimeMs>,
    future: impl Future<Output = T>,
) -> Option<T> {
    let Some(deadline) = deadline else {
        return Some(future.await);
    };
    let left_ms = deadline.since(backend.clock.now());
    timeout(Duration::from_millis(left_ms), future).await.ok()
}

fn draw_service_time(backend: &Backend, call: &Call) -> Duration {
    let own = call.route.as_ref().and_then(|route| route.service_time);
    let service_time = own.unwrap_or(backend.settings.service_time);
    let cold_factor = match backend.is_warm() {
        true => 1.0,
        false => backend.settings.cold_factor,
    };
    let factor = backend.behaviour().slow_factor * cold_factor;
    service_time.draw(backend.uniform(), factor)
}

fn count_arrival(backend: &Backend) {
    let now = backend.clock.now();
    let drain_began_at = backend.drain_began_at();
    backend.book.count(|counters| {
        counters.arrived += 1;
        if let Some(began_at) = drain_began_at {
            counters.arrived_while_draining += 1;
            counters.last_arrival_after_drain_ms = now.since(began_at);
        }
    });
}

/// A draining backend server still takes what arrives, so that a test sees what should not have
/// been sent; one that left does not.
fn shed_reason(backend: &Backend) -> Option<&'static str> {
    if backend.life() == LifeState::Leaving {
        return Some("it has left");
    }
    let longest = backend.behaviour().shed_above_queued?;
    (backend.slots.queued() > longest).then_some("the queue is too long")
}

fn shed(backend: &Backend, why: &str) -> Response<Body> {
    backend.book.count(|counters| counters.shed += 1);
    let answer = failure(backend, StatusCode::SERVICE_UNAVAILABLE, why, None);
    mark_shed(answer)
}

fn failure(
    backend: &Backend,
    status: StatusCode,
    why: &str,
    child: Option<ChildFailure>,
) -> Response<Body> {
    log::debug!("backend: failed status={status} why={why:?} child={child:?}");
    let failure = Failure {
        service: backend.settings.service.clone(),
        instance: backend.instance.clone(),
        error: why.to_string(),
        child,
    };
    json_answer(status, &failure)
}

fn text(map: &HeaderMap, name: &str) -> Option<String> {
    let value = map.get(name)?;
    value.to_str().ok().map(str::to_string)
}
