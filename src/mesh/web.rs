//! A small HTTP client for tests and demos: whole answers, typed failures, a bound on the wait.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::adapters::HttpClient;
use crate::adapters::full_body;
use crate::adapters::http_client;
use crate::errors::MeshError;

const CLIENT_IDLE_MS: u64 = 2_000;
const CLIENT_CONNECT_MS: u64 = 1_000;
/// Enough for whatever a test waits for.
const DEFAULT_WAIT_MS: u64 = 10_000;

/// The client.
#[derive(Clone)]
pub struct Web {
    client: HttpClient,
    wait: Duration,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WebAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Web {
    /// A client that waits for 10 s at most.
    pub fn new() -> Self {
        Self::with_wait(DEFAULT_WAIT_MS)
    }

    /// A client that waits for `wait_ms` at most.
    pub fn with_wait(wait_ms: u64) -> Self {
        Self {
            client: http_client(CLIENT_IDLE_MS, CLIENT_CONNECT_MS),
            wait: Duration::from_millis(wait_ms),
        }
    }

    /// `GET`s an address.
    ///
    /// # Errors
    /// When no whole answer comes in time.
    pub async fn get(&self, uri: &str) -> Result<WebAnswer, MeshError> {
        self.send(Method::GET, uri, &[], Bytes::new()).await
    }

    /// `GET`s JSON.
    ///
    /// # Errors
    /// When no whole answer comes in time, or it does not hold what is expected.
    pub async fn get_json<T: DeserializeOwned>(&self, uri: &str) -> Result<T, MeshError> {
        let answer = self.get(uri).await?;
        serde_json::from_slice(&answer.body).map_err(|source| MeshError::Json {
            uri: uri.to_string(),
            source,
        })
    }

    /// `POST`s JSON.
    ///
    /// # Errors
    /// When no whole answer comes in time.
    pub async fn post_json<T: Serialize>(
        &self,
        uri: &str,
        message: &T,
    ) -> Result<WebAnswer, MeshError> {
        let body = serde_json::to_vec(message).expect("plain structs always encode");
        self.send(Method::POST, uri, &[], body.into()).await
    }

    /// Sends a request with headers.
    ///
    /// # Errors
    /// When no whole answer comes in time.
    pub async fn send(
        &self,
        method: Method,
        uri: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<WebAnswer, MeshError> {
        let failed = |why: String| MeshError::Call {
            uri: uri.to_string(),
            why,
        };
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(full_body(body));
        let request = request.map_err(|error| failed(error.to_string()))?;
        let answer = timeout(self.wait, whole_answer(&self.client, request)).await;
        let answer = answer.map_err(|_| failed("no answer in time".to_string()))?;
        answer.map_err(failed)
    }
}

impl Default for Web {
    fn default() -> Self {
        Self::new()
    }
}

impl WebAnswer {
    /// The text of a header, empty without it.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

async fn whole_answer(
    client: &HttpClient,
    request: Request<crate::adapters::Body>,
) -> Result<WebAnswer, String> {
    let answer = client.request(request).await;
    let answer = answer.map_err(|error| format!("{error:?}"))?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(WebAnswer {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
