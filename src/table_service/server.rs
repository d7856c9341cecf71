//! The HTTP server of the stand-in platform, with rate limits and scripted faults.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use http_body_util::StreamBody;
use log::debug;
use serde::de::DeserializeOwned;

use crate::adapters::Body;
use crate::core::Clock;
use crate::errors::FaultScriptError;
use crate::table_service::answers::json;
use crate::table_service::answers::plain;
use crate::table_service::fault::AnswerLoss;
use crate::table_service::fault::Fault;
use crate::table_service::fault_script::Effects;
use crate::table_service::fault_script::FaultScript;
use crate::table_service::protocol::DOMAIN_HEADER;
use crate::table_service::protocol::MAX_TRANSACTION_ITEMS;
use crate::table_service::protocol::MAX_VALUE_BYTES;
use crate::table_service::protocol::is_valid_key;
use crate::table_service::server_settings::ServerSettings;
use crate::table_service::store::Store;

const TABLE_PATH: &str = "/table";
const ROW_PATH: &str = "/table/";
const TRANSACT_PATH: &str = "/table/transact";
const OBJECT_PATH: &str = "/object/";
const STATS_PATH: &str = "/stats";
const FAULT_PATH: &str = "/fault";
/// The largest body that is read, in bytes: a full transaction, doubled to leave room for JSON.
const MAX_BODY_BYTES: usize = 2 * MAX_VALUE_BYTES * MAX_TRANSACTION_ITEMS;
const PREFIX_QUERY: &str = "prefix=";

/// The server's state. One lock guards all of it, as the stand-in need not be fast.
struct State {
    store: Store,
    faults: FaultScript,
    /// The sum of the error shares of all requests, less 1 for each one that failed. With it
    /// exactly the scripted share fails, without randomness.
    errors_due: f64,
}

/// Serves the protocol of docs/TABLE_SERVICE.md.
pub struct PlatformServer {
    clock: Clock,
    state: Mutex<State>,
}

impl PlatformServer {
    /// An empty platform. Times in the fault script are relative to this call.
    pub fn new(settings: ServerSettings, faults: FaultScript) -> Self {
        let state = State {
            store: Store::new(settings),
            faults,
            errors_due: 0.0,
        };
        Self {
            clock: Clock::new(),
            state: Mutex::new(state),
        }
    }

    /// Answers one request, or never completes if a fault suppresses the answer.
    ///
    /// Processing continues if the client disconnects. Clients have to tolerate a slow write that
    /// takes effect after they have timed out.
    pub async fn handle(self: &Arc<Self>, request: Request<Body>) -> Response<Body> {
        let request = match read_whole(request).await {
            Ok(request) => request,
            Err(status) => return plain(status),
        };
        let server = self.clone();
        let work = tokio::spawn(async move { server.answer(&request).await });
        match work.await {
            Ok(Some(answer)) => answer,
            Ok(None) => std::future::pending().await,
            Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    async fn answer(&self, request: &Request<Bytes>) -> Option<Response<Body>> {
        match request.uri().path() {
            STATS_PATH => Some(json(StatusCode::OK, &self.lock().store.stats)),
            FAULT_PATH => Some(self.handle_fault(request)),
            path => self.answer_under_faults(request, path).await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle_fault(&self, request: &Request<Bytes>) -> Response<Body> {
        match *request.method() {
            Method::GET => {}
            Method::DELETE => self.lock().faults.steps.clear(),
            Method::POST => {
                let added = parse(request).map(|fault| self.add_fault(fault));
                if !matches!(added, Some(Ok(()))) {
                    debug!("platform: fault refused outcome={added:?}");
                    return plain(StatusCode::BAD_REQUEST);
                }
            }
            _ => return plain(StatusCode::METHOD_NOT_ALLOWED),
        }
        json(StatusCode::OK, &self.lock().faults)
    }

    fn add_fault(&self, fault: Fault) -> Result<(), FaultScriptError> {
        let now = self.clock.now();
        self.lock().faults.add(now, fault)
    }

    /// Applies the active faults to a request. `None` means that no answer is sent.
    async fn answer_under_faults(
        &self,
        request: &Request<Bytes>,
        path: &str,
    ) -> Option<Response<Body>> {
        let is_write = *request.method() != Method::GET;
        let effects = self.effects(request, is_write);
        if effects.silent {
            self.count_fault(path, "silent");
            return None;
        }
        if effects.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(effects.delay_ms)).await;
        }
        if effects.down {
            self.count_fault(path, "down");
            return Some(plain(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.is_error_due(effects.error_share) {
            self.count_fault(path, "error");
            return Some(plain(StatusCode::INTERNAL_SERVER_ERROR));
        }
        let answer = self.route(request, path);
        match effects.answer_loss {
            Some(loss) if is_write && answer.status().is_success() => {
                self.count_fault(path, "answer_lost");
                lost_answer(loss)
            }
            _ => Some(answer),
        }
    }

    fn effects(&self, request: &Request<Bytes>, is_write: bool) -> Effects {
        let domain = request.headers().get(DOMAIN_HEADER);
        let domain = domain.and_then(|value| value.to_str().ok()).unwrap_or("");
        let now = self.clock.now();
        self.lock().faults.effects(now, domain, is_write)
    }

    fn count_fault(&self, path: &str, fault: &str) {
        debug!("platform: fault={fault} path={path}");
        let key = path.trim_start_matches(ROW_PATH);
        self.lock()
            .store
            .stats
            .count(key, |counters| counters.faulted += 1);
    }

    fn is_error_due(&self, share: f64) -> bool {
        let mut state = self.lock();
        state.errors_due += share;
        if state.errors_due < 1.0 {
            return false;
        }
        state.errors_due -= 1.0;
        true
    }

    fn route(&self, request: &Request<Bytes>, path: &str) -> Response<Body> {
        let method = request.method().clone();
        let now = self.clock.now();
        if path == TABLE_PATH && method == Method::GET {
            let prefix = request.uri().query().and_then(parse_prefix);
            return match prefix {
                Some(prefix) => self.lock().store.scan(now, prefix),
                None => plain(StatusCode::BAD_REQUEST),
            };
        }
        if path == TRANSACT_PATH && method == Method::POST {
            return match parse(request) {
                Some(transaction) => self.lock().store.transact(now, &transaction),
                None => plain(StatusCode::BAD_REQUEST),
            };
        }
        if let Some(key) = path.strip_prefix(ROW_PATH) {
            return match method {
                Method::GET => self.lock().store.get(now, key),
                _ => plain(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        match path.strip_prefix(OBJECT_PATH) {
            Some(name) => self.handle_object(request, name),
            None => plain(StatusCode::NOT_FOUND),
        }
    }

    fn handle_object(&self, request: &Request<Bytes>, name: &str) -> Response<Body> {
        let now = self.clock.now();
        if !is_valid_key(name) {
            return plain(StatusCode::BAD_REQUEST);
        }
        match *request.method() {
            Method::GET => self.lock().store.get_object(now, name),
            Method::PUT => self
                .lock()
                .store
                .put_object(now, name, request.body().clone()),
            _ => plain(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}

/// What is sent instead of the answer to a change that took effect.
fn lost_answer(loss: AnswerLoss) -> Option<Response<Body>> {
    match loss {
        AnswerLoss::Silent => None,
        AnswerLoss::Broken => {
            let broken = futures::stream::once(async { Err(io::ErrorKind::BrokenPipe.into()) });
            let body = StreamBody::new(broken.boxed());
            Some(Response::new(BodyExt::boxed_unsync(body)))
        }
    }
}

fn parse_prefix(query: &str) -> Option<&str> {
    query
        .split('&')
        .find_map(|part| part.strip_prefix(PREFIX_QUERY))
}

async fn read_whole(request: Request<Body>) -> Result<Request<Bytes>, StatusCode> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES);
    match body.collect().await {
        Ok(content) => Ok(Request::from_parts(head, content.to_bytes())),
        Err(_) => Err(StatusCode::PAYLOAD_TOO_LARGE),
    }
}

fn parse<T: DeserializeOwned>(request: &Request<Bytes>) -> Option<T> {
    serde_json::from_slice(request.body()).ok()
}
