//! The names of the headers that a deployment's callers and backend servers speak.

use http::HeaderMap;
use http::HeaderName;

use crate::wire::HeaderAdvertisement;

/// Header names by what they carry. An adapter fills them in once; traffic knows only the fields.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The identifier that a caller gives to each of its attempts, echoed in answers.
    pub request_id: HeaderName,
    /// How many milliseconds the sender will still wait.
    pub deadline_ms: HeaderName,
    /// To backend servers: the incarnation that is meant; any other one refuses the request.
    pub expected_incarnation: HeaderName,
    /// From backend servers: the incarnation that answers.
    pub incarnation: HeaderName,
    /// To backend servers: the service beside which the request began.
    pub caller_service: HeaderName,
    /// From callers: the key of a client account. It ends at the entry.
    pub account_key: HeaderName,
    /// To backend servers: the name of the account whose key the request came with.
    pub account: HeaderName,
    /// From backend servers: the request was not run.
    pub not_run: HeaderName,
    /// From backend servers: the answer's signature, without which no success is one.
    pub signature: HeaderName,
    /// From backend servers: how many requests a second they take from all nodes together.
    pub rate_limit: HeaderName,
    /// From backend servers: they leave, and take no new requests.
    pub leaving: HeaderName,
}

impl HeaderNames {
    /// What a backend server says of itself in an answer.
    pub fn words(&self, headers: &HeaderMap) -> HeaderAdvertisement {
        HeaderAdvertisement::of(&self.rate_limit, &self.leaving, headers)
    }
}
