//! Readiness, reports of the backend server, and metrics.

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
use crate::traffic::traffic::Traffic;

/// The longest body of a request here; a report has a few hundred bytes.
const MOST_BODY_BYTES: usize = 16 * 1024;
/// How long it may take to arrive.
const BODY_WITHIN: Duration = Duration::from_secs(2);

/// What the gauge of the backend server's rate shows while it names none.
const NO_RATE: f64 = -1.0;

/// Serves one request on the readiness or the report listener.
pub(super) async fn serve_admin(
    traffic: Arc<Traffic>,
    protocol: AdminProtocol,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let reading = read_whole(body, MOST_BODY_BYTES, &traffic.bodies);
    let body = match timeout(BODY_WITHIN, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return told(StatusCode::BAD_REQUEST, error.to_string()),
        Err(_) => return told(StatusCode::REQUEST_TIMEOUT, "the body is late".to_owned()),
    };
    let decoded = (protocol.decode)(&parts.method, parts.uri.path(), &body);
    match decoded {
        Ok(AdminRequest::Readiness) => readiness(&traffic),
        Ok(AdminRequest::Report(report)) => match take_report(&traffic, &report) {
            Ok(()) => acknowledged(&protocol),
            Err(error) => refused(&error),
        },
        Ok(AdminRequest::Metrics) => metrics(&traffic),
        Ok(AdminRequest::Unknown) => told(StatusCode::NOT_FOUND, "not served here".to_owned()),
        Err(error) => refused(&error),
    }
}

fn refused(error: &ReportError) -> Response<Full<Bytes>> {
    log::warn!("local: a report was not taken, error={error}");
    told(StatusCode::BAD_REQUEST, error.to_string())
}

/// Ready is who knows where requests go and has not begun to stop.
fn readiness(traffic: &Traffic) -> Response<Full<Bytes>> {
    let is_ready = traffic.desired.version() > 0 && !traffic.is_stopping();
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    told(status, String::new())
}

fn take_report(traffic: &Traffic, report: &ServerReport) -> Result<(), ReportError> {
    if let Some(service) = unknown_service(traffic, report) {
        return Err(ReportError::UnknownService(service.to_string()));
    }
    let now = traffic.clock.now();
    traffic.change_local(|local| local.take(now, report));
    Ok(())
}

/// The service that a report names, if no operator knows it and the backend server has not borne it before.
///
/// Guards against a report of another writer that takes a sound target away from its service. What leaves is
/// always believed.
fn unknown_service(traffic: &Traffic, report: &ServerReport) -> Option<Name> {
    let service = report.service.clone()?;
    let in_force = traffic.desired.load()?;
    let mut services = in_force.state.services.iter();
    let is_known = report.state != ReportedState::Ready
        || service == traffic.settings.service
        || traffic.local().service() == Some(&service)
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
    traffic.metrics.set_overloaded(&traffic.roots.pressed());
    let queued = traffic.gate.queued_by_class();
    traffic.metrics.set_guard_queue(&queued);
    let version = traffic.desired.version();
    traffic.metrics.config_version.set(version as i64);
    told(
        StatusCode::OK,
        String::from_utf8_lossy(&traffic.metrics.render()).into_owned(),
    )
}

fn told(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
