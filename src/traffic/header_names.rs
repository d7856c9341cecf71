//! The names of the headers that a deployment's callers and backend servers use.

use http::HeaderMap;
use http::HeaderName;

use crate::wire::HeaderAdvertisement;

/// Header names by purpose. An adapter sets them once; the request path uses only these fields.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The identifier that a caller gives to each of its attempts; answers repeat it.
    pub request_id: HeaderName,
    /// How long the sender will still wait, in milliseconds.
    pub deadline_ms: HeaderName,
    /// To backend servers: the expected incarnation; any other one refuses the request.
    pub expected_incarnation: HeaderName,
    /// From backend servers: the incarnation that answers.
    pub incarnation: HeaderName,
    /// To backend servers: the service of the node where the request entered.
    pub caller_service: HeaderName,
    /// From callers: the key of a client account. The entry removes it.
    pub account_key: HeaderName,
    /// To backend servers: the name of the account whose key the request came with.
    pub account: HeaderName,
    /// From backend servers: the request was not run.
    pub not_run: HeaderName,
    /// From backend servers: the answer's signature. A success without it is invalid.
    pub signature: HeaderName,
    /// From backend servers: how many requests per second they accept from all nodes together.
    pub rate_limit: HeaderName,
    /// From backend servers: they are leaving, and accept no new requests.
    pub leaving: HeaderName,
}

impl HeaderNames {
    /// Reads a backend server's advertisements from the headers of an answer.
    pub fn read_advertisements(&self, headers: &HeaderMap) -> HeaderAdvertisement {
        HeaderAdvertisement::of(&self.rate_limit, &self.leaving, headers)
    }
}
