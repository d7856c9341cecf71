//! Answers of a stand-in backend server.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::adapters::Body;
use crate::adapters::full_body;
use crate::wire::headers;

/// The answer to a call that ran.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    pub service: String,
    pub instance: String,
    pub request_id: String,
    pub method: String,
    /// The path and query, by which a caller recognises the answer to its own call.
    pub path: String,
    pub key: Option<String>,
    /// The length of the body that arrived.
    pub body_bytes: u64,
    /// The number of the run in its process.
    pub run: u64,
    pub children: Vec<ChildAnswer>,
    #[serde(default)]
    pub padding: String,
}

/// The answer to a call that a backend server made in turn.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChildAnswer {
    pub service: String,
    pub path: String,
    /// Its JSON, or null where it was none.
    pub answer: Value,
}

/// Why a call that a backend server made in turn failed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChildFailure {
    pub service: String,
    pub path: String,
    /// 0 when no answer came.
    pub status: u16,
    /// `not_run`, `ran` or `unknown`, where the node said it.
    pub outcome: Option<String>,
    pub reason: Option<String>,
    pub retry_after_ms: Option<u64>,
    /// What went wrong when no answer came.
    pub error: Option<String>,
}

/// The body of a refusal or failure.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Failure {
    pub service: String,
    pub instance: String,
    pub error: String,
    pub child: Option<ChildFailure>,
}

/// A JSON answer with a status.
pub fn json_answer<T: Serialize>(status: StatusCode, message: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(message).expect("plain structs always encode");
    let mut answer = Response::new(full_body(Bytes::from(bytes)));
    *answer.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// Marks a refusal as shed before it was started.
pub fn mark_shed(mut answer: Response<Body>) -> Response<Body> {
    let shed = http::HeaderValue::from_static("1");
    answer.headers_mut().insert(headers::SHED, shed);
    answer
}
