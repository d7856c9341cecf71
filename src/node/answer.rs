//! An answer on its way from a backend server to a caller.

use http::HeaderMap;
use http::StatusCode;

use crate::node::body::NodeBody;

/// Status, headers and body; the headers are stripped of connection and internal ones.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: NodeBody,
}
