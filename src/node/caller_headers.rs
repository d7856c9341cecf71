//! Separates the headers that are forwarded from those of one connection and those internal to the
//! product.

use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::header::CONTENT_LENGTH;

use crate::wire::headers;

/// Headers of one connection, which are never forwarded (RFC 9110 section 7.6.1), and those that
/// the HTTP library sets itself.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that must not be forwarded: connection headers, those listed in
/// `Connection`, and all internal headers.
pub(crate) fn strip(map: &mut HeaderMap) {
    let named: Vec<HeaderName> = map
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        map.remove(name);
    }
    for name in CONNECTION_HEADERS {
        map.remove(*name);
    }
    let internal: Vec<HeaderName> = map
        .keys()
        .filter(|name| is_internal(name))
        .cloned()
        .collect();
    for name in internal {
        map.remove(name);
    }
}

/// Like [`strip`], for an answer. The answer to `HEAD` keeps its length, which is the length that
/// the body would have.
pub(crate) fn strip_answer(map: &mut HeaderMap, method: &Method) {
    let len = map.get(CONTENT_LENGTH).cloned();
    strip(map);
    if let (&Method::HEAD, Some(len)) = (method, len) {
        map.insert(CONTENT_LENGTH, len);
    }
}

/// Counts the internal headers that a caller set although it must not.
pub(crate) fn count_forged(map: &HeaderMap) -> usize {
    let may_set = |name: &HeaderName| headers::CALLER_MAY_SET.contains(&name.as_str());
    map.keys()
        .filter(|name| is_internal(name) && !may_set(name))
        .count()
}

/// The encoded size of all headers in bytes.
pub(crate) fn header_bytes(map: &HeaderMap) -> usize {
    map.iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}

/// The value of a header, if it is present and is text.
pub(crate) fn text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name).and_then(|value| value.to_str().ok())
}

fn is_internal(name: &HeaderName) -> bool {
    name.as_str().starts_with(headers::PREFIX)
}
