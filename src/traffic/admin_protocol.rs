//! What the deployment asks a node on its readiness and report listeners.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;

use crate::errors::ReportError;
use crate::traffic::ServerReport;

/// A request on one of those listeners, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether callers may be sent here.
    Readiness,
    /// The backend server says something of itself.
    Report(ServerReport),
    /// The metrics as text.
    Metrics,
    /// Nothing that is served here.
    Unknown,
}

/// Decodes a request from its method, path and body.
pub type DecodeAdmin =
    Arc<dyn Fn(&Method, &str, &[u8]) -> Result<AdminRequest, ReportError> + Send + Sync>;

/// How a deployment speaks on those listeners.
#[derive(Clone)]
pub struct AdminProtocol {
    pub decode: DecodeAdmin,
    /// The body of an acknowledgement, and its content type.
    pub acknowledgement: Bytes,
    pub content_type: &'static str,
}
