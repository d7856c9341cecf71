//! The server: calls to the service, and a few paths for tests.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::adapters::Body;
use crate::adapters::empty_body;
use crate::adapters::serve;
use crate::backend::Backend;
use crate::backend::BackendSettings;
use crate::backend::BehaviourChange;
use crate::backend::LifeState;
use crate::backend::announcer::announce;
use crate::backend::announcer::announce_for_ever;
use crate::backend::answer::json_answer;
use crate::backend::call::CRASH_EXIT_CODE;
use crate::backend::call::handle_call;
use crate::backend::load_report::reported_load;
use crate::errors::BackendError;
use crate::wire::headers;

/// How often a drain looks whether everything has finished.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// How long connections get to hand over the last answers before the process ends.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Serves until SIGTERM, then drains, finishes what it has and returns.
///
/// # Errors
/// When the run log cannot be opened or signals cannot be received.
pub async fn run_backend(
    settings: BackendSettings,
    listener: TcpListener,
) -> Result<(), BackendError> {
    let address = listener.local_addr().map_err(BackendError::Listen)?;
    let backend = Arc::new(Backend::new(settings, address)?);
    let mut terminate = signal(SignalKind::terminate()).map_err(BackendError::Signals)?;
    let shared = backend.clone();
    tokio::spawn(serve(listener, move |request, _| {
        handle(shared.clone(), request)
    }));
    tokio::spawn(announce_for_ever(backend.clone()));
    terminate.recv().await;
    drain(&backend).await;
    announce(&backend).await;
    tokio::time::sleep(LAST_ANSWERS).await;
    Ok(())
}

async fn handle(backend: Arc<Backend>, request: Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_string();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/load") => json_answer(StatusCode::OK, &reported_load(&backend).await),
        (&Method::GET, "/runs") => {
            let list = backend
                .book
                .list(&backend.settings.service, &backend.instance);
            json_answer(StatusCode::OK, &list)
        }
        (&Method::POST, "/behave") => behave(&backend, request).await,
        (&Method::POST, "/drain") => {
            backend.enter_life(LifeState::Draining);
            tokio::spawn(async move { drain(&backend).await });
            empty_answer(StatusCode::ACCEPTED)
        }
        (&Method::POST, path) => match path.strip_prefix("/cancel/") {
            Some(request_id) => {
                let cancelled = backend.cancel(request_id);
                json_answer(StatusCode::OK, &cancelled)
            }
            None => call(backend, request).await,
        },
        _ => call(backend, request).await,
    }
}

/// Answers a call, and says in the answer what rate is set.
async fn call(backend: Arc<Backend>, request: Request<Body>) -> Response<Body> {
    let mut answer = handle_call(backend.clone(), request).await;
    let rate = backend.behaviour().rate_per_s;
    if let Some(rate) = rate.and_then(|rate| HeaderValue::from_str(&rate.to_string()).ok()) {
        answer.headers_mut().insert(headers::RATE_LIMIT, rate);
    }
    answer
}

/// Announces the drain, waits until nothing is left, and announces the leave.
async fn drain(backend: &Backend) {
    backend.enter_life(LifeState::Draining);
    while backend.live_count() > 0 {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    backend.enter_life(LifeState::Leaving);
}

async fn behave(backend: &Backend, request: Request<Body>) -> Response<Body> {
    let Ok(body) = request.into_body().collect().await else {
        return empty_answer(StatusCode::BAD_REQUEST);
    };
    let change: BehaviourChange = match serde_json::from_slice(&body.to_bytes()) {
        Ok(change) => change,
        Err(error) => return json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    log::info!("backend: behaviour changes change={change:?}");
    if change.crash {
        std::process::exit(CRASH_EXIT_CODE);
    }
    backend.change_behaviour(|behaviour| behaviour.apply(&change));
    json_answer(StatusCode::OK, &backend.behaviour())
}

fn empty_answer(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty_body());
    *answer.status_mut() = status;
    answer
}
