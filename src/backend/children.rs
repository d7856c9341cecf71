//! The calls that a backend server makes to further services, through its local node.

use futures::future::join_all;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use crate::adapters::Body;
use crate::adapters::empty_body;
use crate::backend::Backend;
use crate::backend::ChildAnswer;
use crate::backend::ChildCall;
use crate::backend::ChildFailure;
use crate::backend::RouteSettings;
use crate::wire::headers;

/// What a child call takes from its parent.
#[derive(Clone, Debug, Default)]
pub struct Parent {
    /// The opaque context header, passed on as it came.
    pub context: Option<HeaderValue>,
    pub key: Option<String>,
}

/// Makes the child calls of a route. The first failure ends them.
pub async fn call_children(
    backend: &Backend,
    route: &RouteSettings,
    parent: &Parent,
) -> Result<Vec<ChildAnswer>, ChildFailure> {
    let chosen = route.children.iter().enumerate();
    let chosen = chosen.filter(|(_, child)| backend.happens(child.share_percent));
    if route.parallel {
        let calls = chosen.map(|(index, child)| call_child(backend, index, child, parent));
        return join_all(calls).await.into_iter().collect();
    }
    let mut answers = Vec::new();
    for (index, child) in chosen {
        answers.push(call_child(backend, index, child, parent).await?);
    }
    Ok(answers)
}

async fn call_child(
    backend: &Backend,
    index: usize,
    child: &ChildCall,
    parent: &Parent,
) -> Result<ChildAnswer, ChildFailure> {
    let request = child_request(backend, index, child, parent);
    let request = request.map_err(|error| no_answer(child, &error.to_string()))?;
    let answer = backend.client.request(request).await;
    let answer = answer.map_err(|error| no_answer(child, &error.to_string()))?;
    if answer.status() != StatusCode::OK {
        return Err(refused(child, &answer));
    }
    let body = answer.into_body().collect().await;
    let body = body.map_err(|error| no_answer(child, &error.to_string()))?;
    Ok(ChildAnswer {
        service: child.service.clone(),
        path: child.path.clone(),
        answer: serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
    })
}

/// Without a node the address lacks a host, which the client then says.
fn child_request(
    backend: &Backend,
    index: usize,
    child: &ChildCall,
    parent: &Parent,
) -> http::Result<Request<Body>> {
    let node = backend.settings.node.as_deref().unwrap_or_default();
    let node = node.trim_end_matches('/');
    let uri = format!("{node}/{}{}", child.service, child.path);
    let mut request = Request::builder().method(child.method.as_str()).uri(uri);
    if let Some(context) = &parent.context {
        request = request.header(headers::CONTEXT, context);
    }
    if let (true, Some(key)) = (child.with_key, &parent.key) {
        let key = format!("{key}/{index}-{}", child.service);
        request = request.header(headers::IDEMPOTENCY_KEY, key);
    }
    request.body(empty_body())
}

fn refused(child: &ChildCall, answer: &Response<Incoming>) -> ChildFailure {
    let text = |name| {
        let value: Option<&HeaderValue> = answer.headers().get(name);
        value.and_then(|value| value.to_str().ok())
    };
    ChildFailure {
        service: child.service.clone(),
        path: child.path.clone(),
        status: answer.status().as_u16(),
        outcome: text(headers::OUTCOME).map(str::to_string),
        reason: text(headers::REASON).map(str::to_string),
        retry_after_ms: text(headers::RETRY_AFTER_MS).and_then(|value| value.parse().ok()),
        error: None,
    }
}

fn no_answer(child: &ChildCall, error: &str) -> ChildFailure {
    ChildFailure {
        service: child.service.clone(),
        path: child.path.clone(),
        status: 0,
        outcome: None,
        reason: None,
        retry_after_ms: None,
        error: Some(error.to_string()),
    }
}
