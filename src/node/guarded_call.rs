//! One call as the guard sees it.

use std::sync::Arc;

use http::HeaderMap;
use http::Method;

use crate::core::TimeMs;
use crate::node::body::NodeBody;
use crate::node::live_calls::LiveCall;
use crate::wire::CallHeader;

/// A forwarded call, checked and ready to be queued.
pub(super) struct GuardedCall {
    pub(super) header: CallHeader,
    pub(super) method: Method,
    /// As the backend server sees it: without the service.
    pub(super) path_and_query: String,
    pub(super) headers: HeaderMap,
    pub(super) body: NodeBody,
    pub(super) deadline: TimeMs,
    pub(super) live: Arc<LiveCall>,
}
