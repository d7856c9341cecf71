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

/// How long an idle connection is kept, in milliseconds.
const IDLE_CONNECTION_MS: u64 = 10_000;
/// The largest answer body that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A client of the platform. Clones share its connections.
#[derive(Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    domain: Name,
    timeout_ms: u64,
    http: Arc<ArcSwap<HttpClient>>,
}

/// An answer whose body has been read completely.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// Why no complete answer was received.
enum SendFailure {
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The connection broke after the request may have been sent.
    Broken,
    /// No complete answer arrived within the timeout.
    TimedOut,
}

impl PlatformClient {
    /// A client that waits at most `timeout_ms` for each answer.
    pub fn new(address: SocketAddr, domain: Name, timeout_ms: u64) -> Self {
        let http = http_client(IDLE_CONNECTION_MS, timeout_ms);
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
            status => Err(error_for_status(status)),
        }
    }

    /// Applies a transaction atomically. The request is sent once, without retries.
    ///
    /// # Errors
    /// `Conflict` with the row found. `OutcomeUnknown` when the transaction may have taken effect;
    /// [`resolve`](crate::table_service::resolve) then finds out. After any other error nothing was
    /// done.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Committed, PlatformError> {
        let content = serde_json::to_vec(transaction).expect("plain structs always encode");
        let answer = self.write(Method::POST, "/table/transact", content).await?;
        match answer.status {
            StatusCode::OK => parse(&answer.body),
            StatusCode::CONFLICT => Err(conflict(&answer.body)),
            status => Err(error_for_status(status)),
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

    /// Writes a complete object. Each object has a unique name, so a retried write does no harm.
    ///
    /// # Errors
    /// `OutcomeUnknown` when the object may have been written. After any other error it was not.
    pub async fn put_object(
        &self,
        name: &str,
        content: impl Into<Bytes>,
    ) -> Result<(), PlatformError> {
        let path = format!("/object/{}", valid_key(name)?);
        let answer = self.write(Method::PUT, &path, content).await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            status => Err(error_for_status(status)),
        }
    }

    /// Sends a read, and retries it once over a new connection if the first one timed out or broke.
    /// A middlebox may have dropped its state of the old connection while new connections work.
    async fn read(&self, path: &str) -> Result<Answer, PlatformError> {
        match self.send(Method::GET, path, Bytes::new()).await {
            Ok(answer) => return Ok(answer),
            Err(SendFailure::NotSent) => return Err(PlatformError::Unavailable),
            Err(SendFailure::Broken | SendFailure::TimedOut) => {}
        }
        debug!("platform client: read again over a new connection path={path}");
        let timeout_ms = self.timeout_ms;
        match self.send(Method::GET, path, Bytes::new()).await {
            Ok(answer) => Ok(answer),
            Err(SendFailure::NotSent | SendFailure::Broken) => Err(PlatformError::Unavailable),
            Err(SendFailure::TimedOut) => Err(PlatformError::ReadTimedOut { timeout_ms }),
        }
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        content: impl Into<Bytes>,
    ) -> Result<Answer, PlatformError> {
        match self.send(method, path, content.into()).await {
            // The platform may have written before it failed with an internal error.
            Ok(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR => {
                Err(PlatformError::OutcomeUnknown)
            }
            Ok(answer) => Ok(answer),
            Err(SendFailure::NotSent) => Err(PlatformError::Unavailable),
            Err(SendFailure::Broken | SendFailure::TimedOut) => Err(PlatformError::OutcomeUnknown),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        content: Bytes,
    ) -> Result<Answer, SendFailure> {
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
                error if error.is_connect() => SendFailure::NotSent,
                _ => SendFailure::Broken,
            })?;
            read_whole(answer).await
        };
        let result = tokio::time::timeout(timeout, whole).await;
        let result = result.unwrap_or(Err(SendFailure::TimedOut));
        if matches!(result, Err(SendFailure::TimedOut | SendFailure::Broken)) {
            self.replace_connections(&used);
        }
        result
    }

    /// Discards all pooled connections by replacing the client.
    ///
    /// When one connection stops answering, others in the pool usually have too. A retry over one
    /// of them would time out again.
    fn replace_connections(&self, used: &Arc<HttpClient>) {
        debug!(
            "platform client: connection pool replaced address={}",
            self.address
        );
        let fresh = Arc::new(http_client(IDLE_CONNECTION_MS, self.timeout_ms));
        self.http.compare_and_swap(used, fresh);
    }
}

async fn read_whole<B>(answer: Response<B>) -> Result<Answer, SendFailure>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|_| SendFailure::Broken)?;
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
        status => Err(error_for_status(status)),
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

fn error_for_status(status: StatusCode) -> PlatformError {
    match status {
        StatusCode::TOO_MANY_REQUESTS => PlatformError::RateLimited,
        StatusCode::SERVICE_UNAVAILABLE => PlatformError::Unavailable,
        StatusCode::INTERNAL_SERVER_ERROR => PlatformError::Unavailable,
        _ => PlatformError::Rejected {
            status: status.as_u16(),
        },
    }
}
