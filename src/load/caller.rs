//! Sends one whole request, and sends it again as stubbornly as the resend policy says.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::CONTENT_LENGTH;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::adapters::Body;
use crate::adapters::HttpClient;
use crate::adapters::empty_body;
use crate::adapters::full_body;
use crate::adapters::http_client;
use crate::core::Clock;
use crate::load::AttemptEnd;
use crate::load::AttemptRecord;
use crate::load::CallRecord;
use crate::load::ResendPolicy;
use crate::load::TraceLine;
use crate::load::answer_reader::Expected;
use crate::load::answer_reader::path_at_backend;
use crate::load::answer_reader::read_answer;
use crate::wire::headers;

/// Connections idle for longer are closed.
const IDLE_MS: u64 = 20_000;
/// The wait for a new connection.
const CONNECT_MS: u64 = 1_000;

/// What all callers of a run share.
pub struct Caller {
    clock: Clock,
    client: HttpClient,
    entries: Vec<SocketAddr>,
    resend: ResendPolicy,
    /// Sent, cut to length, as the body of every request that has one.
    filler: Bytes,
    /// Tells the markers of this run from those of others.
    run_name: String,
}

impl Caller {
    /// Callers who send through `entries` in turn. `longest_body_bytes` bounds all bodies.
    pub fn new(
        clock: Clock,
        entries: Vec<SocketAddr>,
        resend: ResendPolicy,
        longest_body_bytes: usize,
        run_name: String,
    ) -> Self {
        Self {
            clock,
            client: http_client(IDLE_MS, CONNECT_MS),
            entries,
            resend,
            filler: Bytes::from(vec![b'x'; longest_body_bytes]),
            run_name,
        }
    }

    /// Sends the whole request `index`, due at `start_us + line.at_ms` on the run's clock.
    pub async fn send(&self, index: usize, line: &TraceLine, start_us: u64) -> CallRecord {
        let due_us = start_us + line.at_ms * 1_000;
        let behind_us = self.clock.now_us().saturating_sub(due_us);
        let path = self.marked_path(index, line);
        let mut attempts = Vec::with_capacity(1);
        loop {
            let entry = self.entries[(index + attempts.len()) % self.entries.len()];
            let attempt = self.attempt(entry, line, &path, due_us).await;
            let wait_ms = self.wait_after(&attempt, attempts.len());
            attempts.push(attempt);
            let Some(wait_ms) = wait_ms else {
                break;
            };
            if self.left_ms(line, due_us) <= wait_ms {
                break;
            }
            sleep(Duration::from_millis(wait_ms)).await;
        }
        CallRecord {
            index,
            class: line.class.clone(),
            key: line.key.clone(),
            at_ms: line.at_ms,
            behind_us,
            latency_us: self.clock.now_us().saturating_sub(due_us),
            deadline_ms: line.deadline_ms,
            attempts,
        }
    }

    /// The path with a marker, unique to the request and kept by its resends, by which its answer
    /// is told from that to any other request.
    fn marked_path(&self, index: usize, line: &TraceLine) -> String {
        let joint = if line.path.contains('?') { '&' } else { '?' };
        format!("{}{joint}m={}-{index}", line.path, self.run_name)
    }

    /// The wait before the next attempt, or nothing when the caller is done or gives up.
    fn wait_after(&self, attempt: &AttemptRecord, earlier: usize) -> Option<u64> {
        if attempt.end == AttemptEnd::Good || earlier >= self.resend.times as usize {
            return None;
        }
        let asked_ms = attempt.retry_after_ms.unwrap_or(0);
        if self.resend.honour_retry_after {
            return Some(asked_ms.max(self.resend.wait_ms));
        }
        Some(self.resend.wait_ms)
    }

    fn left_ms(&self, line: &TraceLine, due_us: u64) -> u64 {
        let deadline_us = due_us + line.deadline_ms * 1_000;
        deadline_us.saturating_sub(self.clock.now_us()) / 1_000
    }

    async fn attempt(
        &self,
        entry: SocketAddr,
        line: &TraceLine,
        path: &str,
        due_us: u64,
    ) -> AttemptRecord {
        let left_ms = self.left_ms(line, due_us);
        let wait_ms = left_ms.min(self.resend.attempt_timeout_ms);
        let request = self.request(entry, line, path, left_ms);
        let expected = Expected {
            check: line.answer,
            path: path_at_backend(path),
            key: line.key.as_deref(),
        };
        let answered = async {
            match self.client.request(request).await {
                Ok(answer) => read_answer(answer, expected).await,
                Err(_) => AttemptRecord::without_answer(AttemptEnd::Broken),
            }
        };
        timeout(Duration::from_millis(wait_ms), answered)
            .await
            .unwrap_or_else(|_| AttemptRecord::without_answer(AttemptEnd::TimedOut))
    }

    fn request(
        &self,
        entry: SocketAddr,
        line: &TraceLine,
        path: &str,
        left_ms: u64,
    ) -> Request<Body> {
        let mut request = Request::builder()
            .method(&*line.method)
            .uri(format!("http://{entry}{path}"))
            .header(headers::DEADLINE_MS, left_ms);
        if let Some(key) = &line.key {
            request = request.header(headers::IDEMPOTENCY_KEY, &**key);
        }
        let body = if line.body_bytes > 0 {
            request = request.header(CONTENT_LENGTH, line.body_bytes);
            full_body(self.filler.slice(..line.body_bytes))
        } else {
            empty_body()
        };
        request
            .body(body)
            .expect("plans and traces are checked before they are sent")
    }
}
