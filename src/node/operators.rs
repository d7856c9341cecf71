//! The operators' listener: metrics, status, health and drain.

use std::sync::Arc;

use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;

use crate::adapters::Body;
use crate::adapters::full_body;
use crate::node::FleetStatus;
use crate::node::Node;
use crate::node::Status;

/// Serves one request of an operator or of a metrics collector.
pub(super) async fn serve_operator(node: &Arc<Node>, request: Request<Body>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => metrics(node),
        (&Method::GET, "/status") => json(&Status::of(node)),
        (&Method::GET, "/health") => text(StatusCode::OK, "serving\n"),
        (&Method::GET, "/fleet") => json(&FleetStatus::collect(node).await),
        (&Method::POST, "/drain") => drain(node),
        (&Method::POST, path) => match drained_node(path) {
            Some(name) => drain_by_name(node, name).await,
            None => not_found(),
        },
        _ => not_found(),
    }
}

fn metrics(node: &Node) -> Response<Body> {
    node.refresh_gauges();
    let mut response = Response::new(full_body(node.metrics.render()));
    let text = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, text);
    response
}

fn not_found() -> Response<Body> {
    text(
        StatusCode::NOT_FOUND,
        "GET /metrics, GET /status, GET /fleet, GET /health, POST /drain or POST \
         /nodes/<name>/drain\n",
    )
}

fn json<T: Serialize>(message: &T) -> Response<Body> {
    let message = serde_json::to_vec_pretty(message).expect("plain structs always encode");
    let mut response = Response::new(full_body(message));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn drain(node: &Node) -> Response<Body> {
    node.drain();
    log::info!("node: draining at the request of an operator");
    text(StatusCode::ACCEPTED, "draining\n")
}

/// The node name in `/nodes/<name>/drain`.
fn drained_node(path: &str) -> Option<&str> {
    path.strip_prefix("/nodes/")?.strip_suffix("/drain")
}

/// Forwards a drain request to the named node, so that operators need to reach only one node.
async fn drain_by_name(node: &Node, name: &str) -> Response<Body> {
    if *node.settings.node == *name {
        return drain(node);
    }
    let view = node.inputs.view.load();
    let Some(target) = view.nodes.get(name).cloned() else {
        return text(StatusCode::NOT_FOUND, "no such node is known here\n");
    };
    match (node.inputs.operations.drain)(target.control_address).await {
        Ok(()) => text(StatusCode::ACCEPTED, "draining\n"),
        Err(error) => {
            log::warn!("node: cannot forward a drain request, node={name} error={error}");
            text(
                StatusCode::BAD_GATEWAY,
                "the node cannot be reached from here\n",
            )
        }
    }
}

fn text(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
