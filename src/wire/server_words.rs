//! What a backend server says of itself in its answers.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::admission::AdvertisedRate;

/// The value that says that a backend server leaves.
const LEAVES: &str = "1";

/// The words of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerWords {
    /// How many requests a second it takes.
    pub rate: AdvertisedRate,
    /// It leaves: no new requests.
    pub is_leaving: bool,
}

/// The words by which metrics count.
const RATE: &str = "rate";
const MALFORMED_RATE: &str = "malformed_rate";
const LEAVING: &str = "leaving";

impl ServerWords {
    /// Reads the head of an answer, by the names that these words bear there.
    pub fn of(rate_limit: &HeaderName, leaving: &HeaderName, headers: &HeaderMap) -> Self {
        let mut leaving = headers.get_all(leaving).iter();
        Self {
            rate: rate_word(rate_limit, headers),
            is_leaving: leaving.any(|value| value.as_bytes().trim_ascii() == LEAVES.as_bytes()),
        }
    }

    /// What it says, by the words of the metrics.
    pub fn said(&self) -> impl Iterator<Item = &'static str> {
        let rate = match self.rate {
            AdvertisedRate::Absent => None,
            AdvertisedRate::PerSecond(_) => Some(RATE),
            AdvertisedRate::Malformed => Some(MALFORMED_RATE),
        };
        rate.into_iter().chain(self.is_leaving.then_some(LEAVING))
    }
}

/// What an answer says of the rate; of two values the lower one that can be told.
pub fn rate_word(name: &HeaderName, headers: &HeaderMap) -> AdvertisedRate {
    let rates = headers.get_all(name).iter();
    rates
        .map(rate_of)
        .fold(AdvertisedRate::Absent, AdvertisedRate::combine)
}

fn rate_of(value: &HeaderValue) -> AdvertisedRate {
    let per_s = value.to_str().ok();
    let per_s = per_s.and_then(|text| text.trim().parse::<f64>().ok());
    per_s.map_or(AdvertisedRate::Malformed, AdvertisedRate::of)
}
