//! Tells the local node what this backend server is and where it stands in its life.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::header::CONTENT_TYPE;
use tokio::time::timeout;

use crate::adapters::full_body;
use crate::backend::Backend;

/// How often it announces itself without a change.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(2);
/// How soon it tries again after a failure.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// The longest wait for the node's answer.
const ANSWER_WAIT: Duration = Duration::from_secs(1);

/// Announces at once, at every change and every two seconds, for as long as the process lives.
pub async fn announce_for_ever(backend: Arc<Backend>) {
    loop {
        let pause = match announce(&backend).await {
            true => ANNOUNCE_EVERY,
            false => RETRY_AFTER,
        };
        let _ = timeout(pause, backend.life_changed.notified()).await;
    }
}

/// Announces once; whether the node took it.
pub async fn announce(backend: &Backend) -> bool {
    let Some(node) = &backend.settings.node else {
        return true;
    };
    let announcement = backend.announcement();
    let body = serde_json::to_vec(&announcement).expect("plain structs always encode");
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("{}/announce", node.trim_end_matches('/')))
        .header(CONTENT_TYPE, "application/json")
        .body(full_body(body));
    let Ok(request) = request else {
        log::error!("backend: not an address of a node node={node}");
        return false;
    };
    match timeout(ANSWER_WAIT, backend.client.request(request)).await {
        Ok(Ok(answer)) if answer.status().is_success() => true,
        Ok(Ok(answer)) => {
            log::warn!("backend: announcement refused status={}", answer.status());
            false
        }
        Ok(Err(error)) => {
            log::debug!("backend: node not reached error={error}");
            false
        }
        Err(_) => {
            log::warn!("backend: node did not answer the announcement");
            false
        }
    }
}
