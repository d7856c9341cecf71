//! An answer of a backend server, on its way to a caller.

use http::HeaderMap;
use http::StatusCode;

use crate::node::body::NodeBody;

/// Status, headers and body. Connection and internal headers are stripped.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: NodeBody,
}
