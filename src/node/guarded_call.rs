//! A call at the guard.

use std::sync::Arc;

use http::HeaderMap;
use http::Method;

use crate::core::TimeMs;
use crate::node::body::NodeBody;
use crate::node::live_calls::LiveCall;
use crate::wire::CallHeader;

/// A forwarded call that was checked and can be queued.
pub(super) struct GuardedCall {
    pub(super) header: CallHeader,
    pub(super) method: Method,
    /// The path for the backend server, without the service.
    pub(super) path_and_query: String,
    pub(super) headers: HeaderMap,
    pub(super) body: NodeBody,
    pub(super) deadline: TimeMs,
    pub(super) live: Arc<LiveCall>,
}
