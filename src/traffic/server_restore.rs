//! Restores what is known of the local backend server after a restart of the node, before the first
//! report arrives.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::header::HOST;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::core::Name;
use crate::traffic::ServerReport;
use crate::traffic::backend_answer::apply_advertisements;
use crate::traffic::traffic::Traffic;
use crate::wire::HeaderAdvertisement;

/// Time-out for the health check. Reports arrive every one or two seconds, so a later answer would
/// be useless.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the store has to answer before a report is confirmed by a health check, which takes one
/// of the backend server's connections. A store without trouble answers earlier.
const STORE_HEAD_START: Duration = Duration::from_millis(200);
/// How often to check for a desired state, which names the path of the health check.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A backend server as last reported, stored for a restart of its node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownServer {
    pub incarnation: Name,
    #[serde(default)]
    pub started_unix_ms: Option<u64>,
    pub service: Name,
    pub slots: u32,
}

/// Asks the backend server whether it still is the incarnation from before the node's restart.
///
/// Otherwise a restarted node would serve nothing until the next report of its backend server,
/// which ran on: up to two seconds, and if it is the only one of its service, all call trees
/// through it fail in that time. This shows as refusals `backend_down` or `no_target` after each
/// restart of a node. The health check's answer names the incarnation, and shows whether it
/// is leaving. If it is another incarnation, nothing is known of it, so the node waits for its
/// report.
pub(super) async fn restore_server(traffic: Arc<Traffic>, known: KnownServer) {
    let sent_at = traffic.clock.now();
    let checking = check_health(&traffic, &known.service);
    let Ok(Some(checked)) = timeout(ANSWER_TIMEOUT, checking).await else {
        return;
    };
    if checked.incarnation != known.incarnation {
        return;
    }
    let now = traffic.clock.now();
    if checked.is_healthy {
        traffic.update_local(|local| local.restore(now, &known));
    }
    apply_advertisements(
        &traffic,
        &known.incarnation,
        sent_at,
        checked.advertisements,
    );
}

/// Applies a report of readiness that a health check confirms, or once the stored departure is
/// known; see [`LocalServer::must_confirm`].
///
/// [`LocalServer::must_confirm`]: crate::traffic::LocalServer::must_confirm
pub(super) async fn apply_confirmed_report(traffic: Arc<Traffic>, report: ServerReport) {
    let mut is_read = traffic.is_own_row_read.subscribe();
    let confirming = async {
        sleep(STORE_HEAD_START).await;
        confirm(&traffic, &report).await
    };
    let is_confirmed = tokio::select! {
        is_confirmed = confirming => is_confirmed,
        read = is_read.wait_for(|is_read| *is_read) => read.is_ok(),
    };
    if is_confirmed {
        let now = traffic.clock.now();
        traffic.update_local(|local| local.apply_report(now, &report));
    } else {
        log::info!(
            "local: report not confirmed while the stored departure is unknown, incarnation={}",
            report.incarnation
        );
    }
}

/// Whether the backend server answers that it is the incarnation of a report, and not leaving.
async fn confirm(traffic: &Traffic, report: &ServerReport) -> bool {
    let Some(service) = &report.service else {
        return false;
    };
    let checking = check_health(traffic, service);
    let checked = timeout(ANSWER_TIMEOUT, checking).await.ok().flatten();
    checked.is_some_and(|checked| checked.is_healthy && checked.incarnation == report.incarnation)
}

/// The answer of a health check.
struct HealthCheck {
    incarnation: Name,
    is_healthy: bool,
    advertisements: HeaderAdvertisement,
}

/// Performs a health check of the backend server.
async fn check_health(traffic: &Traffic, service: &Name) -> Option<HealthCheck> {
    let path = health_check_path(traffic, service).await?;
    let address = traffic.live().backend_address;
    let request = Request::builder()
        .method(Method::GET)
        .uri(&*path)
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::new()));
    let request = request
        .map_err(|error| log::warn!("local: invalid health check request, error={error}"))
        .ok()?;
    // The answer is not checked like that of a call, so its connection is not reused for calls.
    let answer = traffic.backend.send(address, request, |_| false).await;
    let answer = answer
        .map_err(|error| log::debug!("local: health check failed, error={error}"))
        .ok()?;
    let names = &traffic.settings.header_names;
    let incarnation = answer.headers.get(&names.incarnation)?.to_str().ok()?;
    Some(HealthCheck {
        incarnation: Name::from(incarnation),
        is_healthy: answer.status.is_success(),
        advertisements: names.read_advertisements(&answer.headers),
    })
}

async fn health_check_path(traffic: &Traffic, service: &Name) -> Option<Name> {
    let in_force = loop {
        match traffic.desired.load() {
            Some(in_force) => break in_force,
            None => sleep(POLL_INTERVAL).await,
        }
    };
    let services = &in_force.state.services;
    let service = services.iter().find(|each| each.name == *service)?;
    let path = service.health_check_path.clone();
    path.starts_with('/').then_some(path)
}
