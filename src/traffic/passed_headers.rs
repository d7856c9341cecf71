//! Selects the headers of a request or an answer that are forwarded.

use http::HeaderMap;
use http::Method;
use http::header::HOST;

use crate::node::caller_headers;

/// Removes headers that concern one connection, or that nodes use among themselves. The host stays:
/// it is part of the caller's request.
pub(super) fn strip_request(map: &mut HeaderMap) {
    let host = map.get(HOST).cloned();
    caller_headers::strip(map);
    if let Some(host) = host {
        map.insert(HOST, host);
    }
}

/// Removes the same headers from an answer to a request with this method.
pub(super) fn strip_answer(map: &mut HeaderMap, method: &Method) {
    caller_headers::strip_answer(map, method);
}
