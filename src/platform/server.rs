//! The stand-in for the platform: its table, its objects, its limits and its scripted faults.

use std::io;
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
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::adapters::Body;
use crate::adapters::empty_body;
use crate::adapters::full_body;
use crate::core::Clock;
use crate::errors::FaultScriptError;
use crate::platform::fault::AnswerLoss;
use crate::platform::fault_script::Effects;
use crate::platform::fault_script::FaultScript;
use crate::platform::fault_script::FaultStep;
use crate::platform::objects::Objects;
use crate::platform::protocol::ConflictAnswer;
use crate::platform::protocol::DOMAIN_HEADER;
use crate::platform::protocol::MAX_OBJECT_BYTES;
use crate::platform::protocol::MAX_TRANSACTION_ITEMS;
use crate::platform::protocol::MAX_VALUE_BYTES;
use crate::platform::protocol::SCAN_ROWS_PER_READ;
use crate::platform::protocol::Scan;
use crate::platform::protocol::Transaction;
use crate::platform::protocol::is_valid_key;
use crate::platform::rate_limit::RateLimit;
use crate::platform::server_settings::ServerSettings;
use crate::platform::stats::Stats;
use crate::platform::table::Rejection;
use crate::platform::table::Table;

const TABLE_PATH: &str = "/table";
const ROW_PATH: &str = "/table/";
const TRANSACT_PATH: &str = "/table/transact";
const OBJECT_PATH: &str = "/object/";
const STATS_PATH: &str = "/stats";
const FAULT_PATH: &str = "/fault";
const PREFIX_QUERY: &str = "prefix=";

/// The whole state behind one lock: the stand-in is not meant to be fast.
struct State {
    table: Table,
    objects: Objects,
    reads: RateLimit,
    writes: RateLimit,
    stats: Stats,
    faults: FaultScript,
    /// Adds up the error shares, so that exactly the scripted share fails without chance.
    errors_due: f64,
}

/// Serves the protocol of docs/PLATFORM.md.
pub struct PlatformServer {
    clock: Clock,
    state: Mutex<State>,
}

impl PlatformServer {
    /// An empty platform whose script begins now.
    pub fn new(settings: ServerSettings, faults: FaultScript) -> Self {
        let state = State {
            table: Table::default(),
            objects: Objects::default(),
            reads: RateLimit::new(settings.reads_per_s),
            writes: RateLimit::new(settings.writes_per_s),
            stats: Stats::default(),
            faults,
            errors_due: 0.0,
        };
        Self {
            clock: Clock::new(),
            state: Mutex::new(state),
        }
    }

    /// Answers one request, or never when a fault says so.
    pub async fn handle(&self, request: Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            STATS_PATH => json(StatusCode::OK, &self.lock().stats),
            FAULT_PATH => self.handle_fault(request).await,
            _ => self.handle_under_faults(request, &path).await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle_fault(&self, request: Request<Body>) -> Response<Body> {
        match *request.method() {
            Method::GET => {}
            Method::DELETE => self.lock().faults.steps.clear(),
            Method::POST => {
                let step = match read_json(request, MAX_VALUE_BYTES).await {
                    Ok(step) => step,
                    Err(status) => return plain(status),
                };
                if let Err(error) = self.add_fault(step) {
                    debug!("platform: fault refused error={error}");
                    return plain(StatusCode::BAD_REQUEST);
                }
            }
            _ => return plain(StatusCode::METHOD_NOT_ALLOWED),
        }
        json(StatusCode::OK, &self.lock().faults)
    }

    fn add_fault(&self, step: FaultStep) -> Result<(), FaultScriptError> {
        let now = self.clock.now();
        self.lock().faults.add(now, step)
    }

    async fn handle_under_faults(&self, request: Request<Body>, path: &str) -> Response<Body> {
        let is_write = *request.method() != Method::GET;
        let effects = self.effects(&request, is_write);
        if effects.silent {
            self.count_fault(path, "silent");
            return std::future::pending().await;
        }
        if effects.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(effects.delay_ms)).await;
        }
        if effects.down {
            self.count_fault(path, "down");
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        if self.is_error_due(effects.error_share) {
            self.count_fault(path, "error");
            return plain(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let answer = self.route(request, path).await;
        match effects.answer_loss {
            Some(loss) if is_write && answer.status().is_success() => {
                self.count_fault(path, "answer_lost");
                lose(loss).await
            }
            _ => answer,
        }
    }

    fn effects(&self, request: &Request<Body>, is_write: bool) -> Effects {
        let domain = request.headers().get(DOMAIN_HEADER);
        let domain = domain.and_then(|value| value.to_str().ok()).unwrap_or("");
        let now = self.clock.now();
        self.lock().faults.effects(now, domain, is_write)
    }

    fn count_fault(&self, path: &str, fault: &str) {
        debug!("platform: fault={fault} path={path}");
        let key = path.trim_start_matches(ROW_PATH);
        self.lock()
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

    async fn route(&self, request: Request<Body>, path: &str) -> Response<Body> {
        let method = request.method().clone();
        if path == TABLE_PATH && method == Method::GET {
            let prefix = request.uri().query().and_then(prefix_of);
            return match prefix {
                Some(prefix) => self.scan(prefix),
                None => plain(StatusCode::BAD_REQUEST),
            };
        }
        if path == TRANSACT_PATH && method == Method::POST {
            return match read_json(request, MAX_VALUE_BYTES * MAX_TRANSACTION_ITEMS).await {
                Ok(transaction) => self.transact(&transaction),
                Err(status) => plain(status),
            };
        }
        if let Some(key) = path.strip_prefix(ROW_PATH) {
            return match method {
                Method::GET => self.get(key),
                _ => plain(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        match path.strip_prefix(OBJECT_PATH) {
            Some(name) => self.handle_object(request, name).await,
            None => plain(StatusCode::NOT_FOUND),
        }
    }

    fn get(&self, key: &str) -> Response<Body> {
        let mut state = self.lock();
        if !state.admit_read(self.clock, key, 1) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        let Some(row) = state.table.get(key).cloned() else {
            return plain(StatusCode::NOT_FOUND);
        };
        state.count_out(key, row.value.len());
        json(StatusCode::OK, &row)
    }

    fn scan(&self, prefix: &str) -> Response<Body> {
        let mut state = self.lock();
        let rows = state.table.scan(prefix);
        let cost = rows.len().div_ceil(SCAN_ROWS_PER_READ).max(1);
        if !state.admit_read(self.clock, prefix, cost) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        let bytes = rows.iter().map(|row| row.value.len()).sum();
        state.count_out(prefix, bytes);
        json(StatusCode::OK, &Scan { rows })
    }

    fn transact(&self, transaction: &Transaction) -> Response<Body> {
        if !is_acceptable(transaction) {
            return plain(StatusCode::BAD_REQUEST);
        }
        let mut state = self.lock();
        let key = first_key(transaction);
        let bytes = transaction.puts.iter().map(|put| put.value.len()).sum();
        if !state.admit_write(self.clock, key, transaction.writes(), bytes) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        match state.table.transact(transaction) {
            Ok(committed) => json(StatusCode::OK, &committed),
            Err(Rejection::Full) => plain(StatusCode::INSUFFICIENT_STORAGE),
            Err(Rejection::Conflict(conflict)) => {
                state.stats.count(key, |counters| counters.conflicts += 1);
                json(StatusCode::CONFLICT, &ConflictAnswer { conflict })
            }
        }
    }

    async fn handle_object(&self, request: Request<Body>, name: &str) -> Response<Body> {
        if !is_valid_key(name) {
            return plain(StatusCode::BAD_REQUEST);
        }
        match *request.method() {
            Method::GET => self.get_object(name),
            Method::PUT => match read_body(request, MAX_OBJECT_BYTES).await {
                Ok(content) => self.put_object(name, content),
                Err(status) => plain(status),
            },
            _ => plain(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn get_object(&self, name: &str) -> Response<Body> {
        let mut state = self.lock();
        if !state.admit_read(self.clock, name, 1) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        let Some(content) = state.objects.get(name) else {
            return plain(StatusCode::NOT_FOUND);
        };
        state.count_out(name, content.len());
        Response::new(full_body(content))
    }

    fn put_object(&self, name: &str, content: Bytes) -> Response<Body> {
        let mut state = self.lock();
        if !state.admit_write(self.clock, name, 1, content.len()) {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        if state.objects.put(name, content) {
            return plain(StatusCode::OK);
        }
        plain(StatusCode::INSUFFICIENT_STORAGE)
    }
}

impl State {
    fn admit_read(&mut self, clock: Clock, key: &str, cost: usize) -> bool {
        if !self.reads.take(clock.now(), cost) {
            self.count_refused(key);
            return false;
        }
        self.stats
            .count(key, |counters| counters.reads += cost as u64);
        true
    }

    fn admit_write(&mut self, clock: Clock, key: &str, cost: usize, bytes: usize) -> bool {
        if !self.writes.take(clock.now(), cost) {
            self.count_refused(key);
            return false;
        }
        self.stats.count(key, |counters| {
            counters.writes += cost as u64;
            counters.bytes_in += bytes as u64;
        });
        true
    }

    fn count_refused(&mut self, key: &str) {
        debug!("platform: refused reason=rate_limit key={key}");
        self.stats.count(key, |counters| counters.refused += 1);
    }

    fn count_out(&mut self, key: &str, bytes: usize) {
        self.stats
            .count(key, |counters| counters.bytes_out += bytes as u64);
    }
}

/// Loses the answer to a change that took effect.
async fn lose(loss: AnswerLoss) -> Response<Body> {
    match loss {
        AnswerLoss::Silent => std::future::pending().await,
        AnswerLoss::Broken => {
            let broken = futures::stream::once(async { Err(io::ErrorKind::BrokenPipe.into()) });
            let body = StreamBody::new(broken.boxed());
            Response::new(BodyExt::boxed_unsync(body))
        }
    }
}

fn is_acceptable(transaction: &Transaction) -> bool {
    let items = transaction.checks.len() + transaction.puts.len() + transaction.deletes.len();
    let mut keys = transaction
        .checks
        .iter()
        .map(|check| &check.key)
        .chain(transaction.puts.iter().map(|put| &put.key))
        .chain(&transaction.deletes);
    let values_fit = transaction
        .puts
        .iter()
        .all(|put| put.value.len() <= MAX_VALUE_BYTES);
    (1..=MAX_TRANSACTION_ITEMS).contains(&items) && keys.all(|key| is_valid_key(key)) && values_fit
}

/// The key under whose prefix a transaction is counted.
fn first_key(transaction: &Transaction) -> &str {
    let put = transaction.puts.first().map(|put| &*put.key);
    let deleted = transaction.deletes.first().map(|key| &**key);
    put.or(deleted).unwrap_or("")
}

fn prefix_of(query: &str) -> Option<&str> {
    query
        .split('&')
        .find_map(|part| part.strip_prefix(PREFIX_QUERY))
}

async fn read_body(request: Request<Body>, limit_bytes: usize) -> Result<Bytes, StatusCode> {
    let body = Limited::new(request.into_body(), limit_bytes);
    match body.collect().await {
        Ok(content) => Ok(content.to_bytes()),
        Err(_) => Err(StatusCode::PAYLOAD_TOO_LARGE),
    }
}

async fn read_json<T: DeserializeOwned>(
    request: Request<Body>,
    limit_bytes: usize,
) -> Result<T, StatusCode> {
    let body = read_body(request, limit_bytes).await?;
    serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)
}

fn json<T: Serialize>(status: StatusCode, message: &T) -> Response<Body> {
    let content = serde_json::to_vec(message).expect("plain structs always encode");
    let mut answer = Response::new(full_body(content));
    *answer.status_mut() = status;
    answer
}

fn plain(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty_body());
    *answer.status_mut() = status;
    answer
}
