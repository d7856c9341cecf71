//! How long a server keeps an idle connection, according to its answers.

use http::HeaderMap;
use http::header::CONNECTION;
use http::header::HeaderName;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// How long before the server's timeout the pool stops using a connection, in milliseconds. If a
/// request crosses the server's close on the network, its sender cannot know whether it ran.
const MARGIN_MS: u64 = 300;

/// How long the connection may be reused after this answer; `None` if the server does not say.
pub(super) fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    if closes_connection(headers) {
        return Some(0);
    }
    let texts = headers.get_all(KEEP_ALIVE).iter();
    let parameters = texts.filter_map(|value| value.to_str().ok());
    let parameters = parameters.flat_map(|text| text.split(','));
    let timeouts = parameters.filter_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        let seconds = value.trim().parse::<u64>().ok();
        seconds.filter(|_| is_timeout)
    });
    let timeout_s = timeouts.min()?;
    Some(timeout_s.saturating_mul(1_000).saturating_sub(MARGIN_MS))
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let options = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let mut options = options.map(<[u8]>::trim_ascii);
    options.any(|option| option.eq_ignore_ascii_case(b"close"))
}
