//! The local listener, where the backend server announces itself and makes its own calls.

use std::sync::Arc;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;

use crate::adapters::Body;
use crate::adapters::empty_body;
use crate::adapters::full_body;
use crate::node::Announcement;
use crate::node::Node;
use crate::node::caller_headers::text;
use crate::node::entry::Origin;
use crate::node::entry::serve_call;
use crate::wire::headers;

/// The path at which a backend server announces itself.
const ANNOUNCE_PATH: &str = "/announce";
/// The maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// Serves an announcement, or a call on behalf of the live call that its context names.
pub(super) async fn serve_local(node: &Arc<Node>, request: Request<Body>) -> Response<Body> {
    if request.method() == Method::POST && request.uri().path() == ANNOUNCE_PATH {
        return announce(node, request).await;
    }
    let context = text(request.headers(), headers::CONTEXT);
    let parent = context.and_then(|context| node.live_calls.find(context));
    if parent.is_none() {
        node.metrics.roots_without_context.inc();
    }
    serve_call(node, request, Origin::Backend(parent)).await
}

async fn announce(node: &Node, request: Request<Body>) -> Response<Body> {
    let body = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES);
    let Ok(body) = body.collect().await else {
        return answer(
            StatusCode::BAD_REQUEST,
            "the announcement is cut short or too large\n",
        );
    };
    match serde_json::from_slice::<Announcement>(&body.to_bytes()) {
        Ok(announcement) => {
            node.apply_announcement(announcement);
            with_status(StatusCode::NO_CONTENT)
        }
        Err(error) => answer(StatusCode::BAD_REQUEST, &format!("{error}\n")),
    }
}

fn answer(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(full_body(text.to_owned()));
    *response.status_mut() = status;
    response
}

fn with_status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
