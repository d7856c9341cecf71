//! Requests to the operators' listener of a node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::timeout;

use crate::adapters::empty_body;
use crate::adapters::http_client;
use crate::errors::CtlError;

/// A node asks all others before it answers, and some may be silent.
const TIMEOUT_MS: u64 = 8_000;
const CONNECT_MS: u64 = 2_000;
/// The status of 720 nodes is about a tenth of this.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Sends a request without body and takes the whole answer.
pub async fn ask_node(
    node: SocketAddr,
    method: Method,
    path: &str,
) -> Result<(StatusCode, Bytes), CtlError> {
    let unreachable = |why: String| CtlError::NodeUnreachable { node, why };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{node}{path}"))
        .body(empty_body())
        .map_err(|error| unreachable(error.to_string()))?;
    let whole = async {
        let answer = http_client(TIMEOUT_MS, CONNECT_MS).request(request).await;
        let answer = answer.map_err(|error| unreachable(error.to_string()))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        Ok((status, body.to_bytes()))
    };
    match timeout(Duration::from_millis(TIMEOUT_MS), whole).await {
        Ok(answer) => answer,
        Err(_) => Err(unreachable(format!("no answer in {TIMEOUT_MS} ms"))),
    }
}
