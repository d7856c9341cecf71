//! The client of the platform's table service and object store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use log::debug;
use serde::de::DeserializeOwned;

use crate::adapters::HttpClient;
use crate::adapters::full_body;
use crate::adapters::http_client;
use crate::core::Name;
use crate::errors::PlatformError;
use crate::table_service::protocol::Committed;
use crate::table_service::protocol::ConflictAnswer;
use crate::table_service::protocol::DOMAIN_HEADER;
use crate::table_service::protocol::KeyedRow;
use crate::table_service::protocol::Row;
use crate::table_service::protocol::Scan;
use crate::table_service::protocol::Transaction;
use crate::table_service::protocol::is_valid_key;

/// How long an unused connection is kept, in milliseconds.
const IDLE_MS: u64 = 10_000;
/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A handle to the platform; clones share connections.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    domain: Name,
    timeout_ms: u64,
    http: Arc<ArcSwap<HttpClient>>,
}

/// A status with its whole body.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// Why no whole answer came.
enum Failure {
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The connection broke after the request may have been sent.
    Broken,
    /// Nothing came in time.
    TimedOut,
}

impl PlatformClient {
    /// A client that waits at most `timeout_ms` for each answer.
    pub fn new(address: SocketAddr, domain: Name, timeout_ms: u64) -> Self {
        let http = http_client(IDLE_MS, timeout_ms);
        Self {
            address,
            domain,
            timeout_ms,
            http: Arc::new(ArcSwap::from_pointee(http)),
        }
    }

    /// One row, or `None` when it does not exist.
    ///
    /// # Errors
    /// When the platform is unavailable, limits the rate or does not answer in time.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let path = format!("/table/{}", valid_key(key)?);
        found(self.read(&path).await?, |body| parse(&body))
    }

    /// All rows whose keys begin with `prefix`, in the order of their keys.
    ///
    /// # Errors
    /// As for [`Self::get`].
    pub async fn scan(&self, prefix: &str) -> Result<Vec<KeyedRow>, PlatformError> {
        let path = format!("/table?prefix={}", valid_key(prefix)?);
        let answer = self.read(&path).await?;
        match answer.status {
            StatusCode::OK => Ok(parse::<Scan>(&answer.body)?.rows),
            status => Err(refused(status)),
        }
    }

    /// Applies a transaction whole or not at all. It is sent once.
    ///
    /// # Errors
    /// `Conflict` with the row found; `OutcomeUnknown` when it may have taken effect, to be
    /// cleared up with [`resolve`](crate::table_service::resolve); otherwise nothing was done.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Committed, PlatformError> {
        let content = serde_json::to_vec(transaction).expect("plain structs always encode");
        let answer = self.write(Method::POST, "/table/transact", content).await?;
        match answer.status {
            StatusCode::OK => parse(&answer.body),
            StatusCode::CONFLICT => Err(conflict(&answer.body)),
            status => Err(refused(status)),
        }
    }

    /// One object, or `None` when it does not exist.
    ///
    /// # Errors
    /// As for [`Self::get`].
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/object/{}", valid_key(name)?);
        found(self.read(&path).await?, Ok)
    }

    /// Writes an object whole. Objects are written under names of their own, so that a repeated
    /// write does no harm.
    ///
    /// # Errors
    /// `OutcomeUnknown` when it may have been written; otherwise it was not.
    pub async fn put_object(
        &self,
        name: &str,
        content: impl Into<Bytes>,
    ) -> Result<(), PlatformError> {
        let path = format!("/object/{}", valid_key(name)?);
        let answer = self.write(Method::PUT, &path, content).await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            status => Err(refused(status)),
        }
    }

    /// Reads, and reads once more over a new connection when the first one went silent or broke:
    /// something between the two ends may have lost track of it while new ones work.
    async fn read(&self, path: &str) -> Result<Answer, PlatformError> {
        match self.send(Method::GET, path, Bytes::new()).await {
            Ok(answer) => return Ok(answer),
            Err(Failure::NotSent) => return Err(PlatformError::Unavailable),
            Err(Failure::Broken | Failure::TimedOut) => {}
        }
        debug!("platform client: read again over a new connection path={path}");
        let timeout_ms = self.timeout_ms;
        match self.send(Method::GET, path, Bytes::new()).await {
            Ok(answer) => Ok(answer),
            Err(Failure::NotSent | Failure::Broken) => Err(PlatformError::Unavailable),
            Err(Failure::TimedOut) => Err(PlatformError::ReadTimedOut { timeout_ms }),
        }
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        content: impl Into<Bytes>,
    ) -> Result<Answer, PlatformError> {
        match self.send(method, path, content.into()).await {
            // A store that fails inside may have written before it failed.
            Ok(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR => {
                Err(PlatformError::OutcomeUnknown)
            }
            Ok(answer) => Ok(answer),
            Err(Failure::NotSent) => Err(PlatformError::Unavailable),
            Err(Failure::Broken | Failure::TimedOut) => Err(PlatformError::OutcomeUnknown),
        }
    }

    async fn send(&self, method: Method, path: &str, content: Bytes) -> Result<Answer, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(DOMAIN_HEADER, &*self.domain)
            .body(full_body(content))
            .expect("keys are checked before they become part of a path");
        let used = self.http.load_full();
        let timeout = Duration::from_millis(self.timeout_ms);
        let whole = async {
            let answer = used.request(request).await.map_err(|error| match error {
                error if error.is_connect() => Failure::NotSent,
                _ => Failure::Broken,
            })?;
            read_whole(answer).await
        };
        let result = tokio::time::timeout(timeout, whole).await;
        let result = result.unwrap_or(Err(Failure::TimedOut));
        if matches!(result, Err(Failure::TimedOut | Failure::Broken)) {
            self.forget_connections(&used);
        }
        result
    }

    /// Silent connections rarely come alone, and a retry that picked another one from the same
    /// pool would wait in vain again: all of them are given up together.
    fn forget_connections(&self, used: &Arc<HttpClient>) {
        debug!(
            "platform client: connections given up address={}",
            self.address
        );
        let fresh = Arc::new(http_client(IDLE_MS, self.timeout_ms));
        self.http.compare_and_swap(used, fresh);
    }
}

async fn read_whole<B>(answer: Response<B>) -> Result<Answer, Failure>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|_| Failure::Broken)?;
    Ok(Answer {
        status,
        body: body.to_bytes(),
    })
}

fn valid_key(key: &str) -> Result<&str, PlatformError> {
    if is_valid_key(key) {
        return Ok(key);
    }
    let key = key.to_owned();
    Err(PlatformError::InvalidKey { key })
}

fn found<T>(
    answer: Answer,
    read: impl FnOnce(Bytes) -> Result<T, PlatformError>,
) -> Result<Option<T>, PlatformError> {
    match answer.status {
        StatusCode::OK => read(answer.body).map(Some),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(refused(status)),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|source| PlatformError::Malformed { source })
}

fn conflict(body: &[u8]) -> PlatformError {
    match parse::<ConflictAnswer>(body) {
        Ok(ConflictAnswer { conflict }) => PlatformError::Conflict {
            key: conflict.key,
            version: conflict.version,
            value: conflict.value,
        },
        Err(error) => error,
    }
}

fn refused(status: StatusCode) -> PlatformError {
    match status {
        StatusCode::TOO_MANY_REQUESTS => PlatformError::RateLimited,
        StatusCode::SERVICE_UNAVAILABLE => PlatformError::Unavailable,
        StatusCode::INTERNAL_SERVER_ERROR => PlatformError::Unavailable,
        _ => PlatformError::Rejected {
            status: status.as_u16(),
        },
    }
}
