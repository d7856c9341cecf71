//! The operators' listener: metrics, status, health and drain.

use std::sync::Arc;

use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;

use crate::adapters::Body;
use crate::adapters::full_body;
use crate::node::Node;
use crate::node::Status;

/// Serves one request of an operator or of a metrics collector.
pub(super) async fn serve_operator(node: &Arc<Node>, request: Request<Body>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => metrics(node),
        (&Method::GET, "/status") => status(node),
        (&Method::GET, "/health") => text(StatusCode::OK, "serving\n"),
        (&Method::POST, "/drain") => drain(node),
        _ => text(
            StatusCode::NOT_FOUND,
            "GET /metrics, GET /status, GET /health or POST /drain\n",
        ),
    }
}

fn metrics(node: &Node) -> Response<Body> {
    node.refresh_gauges();
    let mut response = Response::new(full_body(node.metrics.render()));
    let text = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, text);
    response
}

fn status(node: &Node) -> Response<Body> {
    let status = serde_json::to_vec_pretty(&Status::of(node)).expect("plain structs always encode");
    let mut response = Response::new(full_body(status));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn drain(node: &Node) -> Response<Body> {
    node.drain();
    log::info!("node: drains on an operator's word");
    text(StatusCode::ACCEPTED, "draining\n")
}

fn text(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
