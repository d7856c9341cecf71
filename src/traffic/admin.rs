//! Serves readiness checks, reports of the backend server, and metrics.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::adapters::read_whole;
use crate::core::Name;
use crate::errors::ReportError;
use crate::traffic::AdminProtocol;
use crate::traffic::AdminRequest;
use crate::traffic::ReportedState;
use crate::traffic::ServerReport;
use crate::traffic::server_restore::apply_confirmed_report;
use crate::traffic::traffic::Traffic;

/// Maximum body length of a request to these listeners; a report has a few hundred bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// Time-out for reading the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a report waits for its confirmation before it is acknowledged. The backend server would
/// send it to another node if the acknowledgement took a second.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);

/// The value of the backend rate metric while the backend server advertises no rate limit.
const NO_RATE: f64 = -1.0;

/// Serves one request on the readiness or the report listener.
pub(super) async fn serve_admin(
    traffic: Arc<Traffic>,
    protocol: AdminProtocol,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let reading = read_whole(body, MAX_BODY_BYTES, &traffic.bodies);
    let body = match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return reply(StatusCode::BAD_REQUEST, error.to_string()),
        Err(_) => return reply(StatusCode::REQUEST_TIMEOUT, "the body is late".to_owned()),
    };
    let decoded = (protocol.decode)(&parts.method, parts.uri.path(), &body);
    match decoded {
        Ok(AdminRequest::Readiness) => readiness(&traffic),
        Ok(AdminRequest::Report(report)) => match handle_report(&traffic, report).await {
            Ok(()) => acknowledged(&protocol),
            Err(error) => refused(&error),
        },
        Ok(AdminRequest::Metrics) => metrics(&traffic),
        Ok(AdminRequest::Unknown) => reply(StatusCode::NOT_FOUND, "not served here".to_owned()),
        Err(error) => refused(&error),
    }
}

fn refused(error: &ReportError) -> Response<Full<Bytes>> {
    log::warn!("local: report rejected, error={error}");
    reply(StatusCode::BAD_REQUEST, error.to_string())
}

/// The node is ready once it has a desired state, until it starts to stop.
fn readiness(traffic: &Traffic) -> Response<Full<Bytes>> {
    let is_ready = traffic.desired.version() > 0 && !traffic.is_stopping();
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply(status, String::new())
}

async fn handle_report(traffic: &Arc<Traffic>, report: ServerReport) -> Result<(), ReportError> {
    if let Some(service) = unknown_service(traffic, &report) {
        return Err(ReportError::UnknownService(service.to_string()));
    }
    let now = traffic.clock.now();
    if traffic.local().must_confirm(now, &report) {
        let confirming = tokio::spawn(apply_confirmed_report(traffic.clone(), report));
        drop(timeout(CONFIRMATION_TIMEOUT, confirming).await);
    } else {
        traffic.update_local(|local| local.apply_report(now, &report));
    }
    Ok(())
}

/// The service named by a report, if it is not in the desired state, not the configured service of
/// this node, and not the service that the backend server has reported so far.
///
/// Such a report is rejected. It may come from another process, and would remove a working target
/// from its service. A report that the backend server is draining or has left is always accepted.
fn unknown_service(traffic: &Traffic, report: &ServerReport) -> Option<Name> {
    let service = report.service.clone()?;
    let in_force = traffic.desired.load()?;
    let mut services = in_force.state.services.iter();
    let is_known = report.state != ReportedState::Ready
        || traffic.own_service.is_known(&service)
        || services.any(|each| each.name == service);
    (!is_known).then_some(service)
}

fn acknowledged(protocol: &AdminProtocol) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(protocol.acknowledgement.clone()));
    let content_type = HeaderValue::from_static(protocol.content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn metrics(traffic: &Traffic) -> Response<Full<Bytes>> {
    let load = traffic.gate.load();
    traffic
        .metrics
        .guard_in_flight
        .set(i64::from(load.in_flight));
    traffic.metrics.guard_limit.set(i64::from(load.limit));
    let rate_per_s = traffic.local().rate_per_s().unwrap_or(NO_RATE);
    traffic.metrics.backend_rate.set(rate_per_s);
    let held = traffic.bodies.held_bytes();
    traffic.metrics.body_bytes.set(held as i64);
    let failing = traffic.failing_permille(traffic.clock.now());
    traffic.metrics.failing_permille.set(i64::from(failing));
    traffic.metrics.set_overloaded(&traffic.roots.overloaded());
    let budgets = traffic.budgets.uses(traffic.clock.now());
    let budgets = budgets.iter().map(|(service, used)| (service, *used));
    traffic.metrics.retry.set_budgets(budgets);
    let placements = traffic.placements.all_current(traffic.clock.now());
    let loads = placements.iter();
    let loads = loads.map(|(service, placement)| (&**service, &*placement.loads));
    traffic.metrics.placement.set_loads(loads);
    let queued = traffic.gate.queued_by_class();
    traffic.metrics.set_guard_queue(&queued);
    let version = traffic.desired.version();
    traffic.metrics.config_version.set(version as i64);
    reply(
        StatusCode::OK,
        String::from_utf8_lossy(&traffic.metrics.render()).into_owned(),
    )
}

fn reply(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
