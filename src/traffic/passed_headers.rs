//! Which headers of a request or an answer are passed on.

use http::HeaderMap;
use http::Method;
use http::header::HOST;

use crate::node::caller_headers;

/// Removes what concerns one connection or belongs to the product. The host stays: it is part of
/// what the caller asked for.
pub(super) fn strip_request(map: &mut HeaderMap) {
    let host = map.get(HOST).cloned();
    caller_headers::strip(map);
    if let Some(host) = host {
        map.insert(HOST, host);
    }
}

/// The same for an answer to a request with this method.
pub(super) fn strip_answer(map: &mut HeaderMap, method: &Method) {
    caller_headers::strip_answer(map, method);
}
