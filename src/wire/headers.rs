//! Header names. Those that begin with `sassafrasgap-` belong to the product.

/// From callers: the key under which a call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// From callers: the longest useful wait for the answer, in milliseconds.
pub const DEADLINE_MS: &str = "sassafrasgap-deadline-ms";
/// To callers: `not_run`, `ran` or `unknown`.
pub const OUTCOME: &str = "sassafrasgap-outcome";
/// To callers: why the call was refused.
pub const REASON: &str = "sassafrasgap-reason";
/// To callers: when to come back, in milliseconds; `Retry-After` carries it in whole seconds.
pub const RETRY_AFTER_MS: &str = "sassafrasgap-retry-after-ms";
/// To callers and backend servers: the identifier of the root request.
pub const REQUEST_ID: &str = "sassafrasgap-request-id";
/// To backend servers, and back from them on their own calls: the live call they work for.
pub const CONTEXT: &str = "sassafrasgap-context";
/// Between nodes: an encoded `CallHeader`.
pub const CALL: &str = "sassafrasgap-call";
/// Between nodes: an encoded `AnswerHeader`.
pub const ANSWER: &str = "sassafrasgap-answer";
/// Between nodes: an encoded `HopCall`.
pub const HOP: &str = "sassafrasgap-hop";
/// Between nodes: an encoded `HopAnswer`.
pub const HOP_ANSWER: &str = "sassafrasgap-hop-answer";
/// From backend servers: `1` on a 503 that was shed before it was started.
pub const SHED: &str = "sassafrasgap-shed";
/// From backend servers, in their answers: how many requests a second they take from all nodes together.
pub const RATE_LIMIT: &str = "sassafrasgap-rate-limit";

/// The prefix of every header of the product. On the callers' listener, incoming headers with it
/// are dropped unless listed in [`CALLER_MAY_SET`], so that a caller cannot forge a class, a retry
/// allotment or an identity.
pub const PREFIX: &str = "sassafrasgap-";
/// The headers with the prefix that a caller may set.
pub const CALLER_MAY_SET: &[&str] = &[DEADLINE_MS];
