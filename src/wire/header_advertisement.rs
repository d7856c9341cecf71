//! The advertisement that a backend server puts in the headers of one answer. Nodes pass it on as
//! an [`Advertisement`](crate::wire::Advertisement).

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::admission::AdvertisedRate;

/// The header value by which a backend server announces its departure.
const LEAVING_VALUE: &str = "1";

/// The advertisement in one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeaderAdvertisement {
    /// The rate that the backend server accepts.
    pub rate: AdvertisedRate,
    /// The backend server is leaving and accepts no new requests.
    pub is_leaving: bool,
}

/// The label values of the metric `sassafrasgap_backend_words_total`.
const RATE: &str = "rate";
const MALFORMED_RATE: &str = "malformed_rate";
const LEAVING: &str = "leaving";

impl HeaderAdvertisement {
    /// Reads the advertisement from the headers of an answer, under the given header names.
    pub fn of(rate_limit: &HeaderName, leaving: &HeaderName, headers: &HeaderMap) -> Self {
        let mut leaving = headers.get_all(leaving).iter();
        Self {
            rate: advertised_rate(rate_limit, headers),
            is_leaving: leaving
                .any(|value| value.as_bytes().trim_ascii() == LEAVING_VALUE.as_bytes()),
        }
    }

    /// The label values under which metrics count this advertisement.
    pub fn labels(&self) -> impl Iterator<Item = &'static str> {
        let rate = match self.rate {
            AdvertisedRate::Absent => None,
            AdvertisedRate::PerSecond(_) => Some(RATE),
            AdvertisedRate::Malformed => Some(MALFORMED_RATE),
        };
        rate.into_iter().chain(self.is_leaving.then_some(LEAVING))
    }
}

/// The rate that an answer advertises. Of several well-formed values the lowest one counts.
pub fn advertised_rate(name: &HeaderName, headers: &HeaderMap) -> AdvertisedRate {
    let rates = headers.get_all(name).iter();
    rates
        .map(parse_rate)
        .fold(AdvertisedRate::Absent, AdvertisedRate::combine)
}

fn parse_rate(value: &HeaderValue) -> AdvertisedRate {
    let per_s = value.to_str().ok();
    let per_s = per_s.and_then(|text| text.trim().parse::<f64>().ok());
    per_s.map_or(AdvertisedRate::Malformed, AdvertisedRate::of)
}
