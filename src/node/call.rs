//! A call at the entry.

use std::sync::Arc;

use http::HeaderMap;
use http::Method;

use crate::core::Name;
use crate::core::Priority;
use crate::core::RequestId;
use crate::core::TimeMs;
use crate::node::body::NodeBody;
use crate::node::live_calls::LiveCall;

/// A classified call, ready to be forwarded.
pub(super) struct Call {
    pub(super) service: Name,
    /// The route, for which the admission levels of the service are kept.
    pub(super) route: Name,
    pub(super) method: Method,
    /// `/<service>/<rest>`, as sent by the caller.
    pub(super) path_and_query: String,
    /// The headers to forward to the backend server, without connection and internal headers.
    pub(super) headers: HeaderMap,
    pub(super) body: NodeBody,
    pub(super) request: RequestId,
    pub(super) priority: Priority,
    pub(super) depth: u8,
    pub(super) deadline: TimeMs,
    pub(super) wait_ms: u32,
    pub(super) non_idempotent: bool,
    pub(super) key: Option<Name>,
    /// The stamp to send, as reported by the owner of the key's slot.
    pub(super) owner_stamp: u64,
    /// Whether this is the first time that the key is sent anywhere.
    pub(super) first_sending: bool,
    /// When the entry read the head of the call.
    pub(super) arrived_at: TimeMs,
    pub(super) config_version: u64,
    /// The holder of the retry allotment: the call itself for a root, otherwise the live call on
    /// whose behalf the backend server makes this one.
    pub(super) allotment_holder: Arc<LiveCall>,
    /// Whether the body can be sent more than once.
    pub(super) body_is_held: bool,
}
