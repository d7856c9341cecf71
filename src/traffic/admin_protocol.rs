//! The deployment's protocol on the readiness and report listeners of a node.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;

use crate::errors::ReportError;
use crate::traffic::ServerReport;

/// A decoded request to one of these listeners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Asks whether callers may send requests to this node.
    Readiness,
    /// A report of the backend server.
    Report(ServerReport),
    /// Asks for the metrics as text.
    Metrics,
    /// Anything else, which is not served.
    Unknown,
}

/// Decodes a request from its method, path and body.
pub type DecodeAdmin =
    Arc<dyn Fn(&Method, &str, &[u8]) -> Result<AdminRequest, ReportError> + Send + Sync>;

/// Decodes requests to these listeners, and supplies the body of acknowledgements.
#[derive(Clone)]
pub struct AdminProtocol {
    pub decode: DecodeAdmin,
    /// The body of an acknowledgement, and its content type.
    pub acknowledgement: Bytes,
    pub content_type: &'static str,
}
