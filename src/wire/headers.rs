//! HTTP header names. Names with the prefix `sassafrasgap-` are reserved for this project.

/// From callers: the idempotency key under which a call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// From callers: the deadline, as the number of milliseconds that the caller waits for the answer.
pub const DEADLINE_MS: &str = "sassafrasgap-deadline-ms";
/// To callers: whether the request ran, as `not_run`, `ran` or `unknown`.
pub const OUTCOME: &str = "sassafrasgap-outcome";
/// To callers: the reason of a refusal.
pub const REASON: &str = "sassafrasgap-reason";
/// To callers: when to retry, in milliseconds. `Retry-After` carries the same in whole seconds.
pub const RETRY_AFTER_MS: &str = "sassafrasgap-retry-after-ms";
/// To callers and backend servers: the identifier of the root request.
pub const REQUEST_ID: &str = "sassafrasgap-request-id";
/// To backend servers: the context of the running call. They copy this header to the child calls
/// that they make for that call.
pub const CONTEXT: &str = "sassafrasgap-context";
/// Between nodes: an encoded `CallHeader`.
pub const CALL: &str = "sassafrasgap-call";
/// Between nodes: an encoded `AnswerHeader`.
pub const ANSWER: &str = "sassafrasgap-answer";
/// Between nodes: an encoded `HopCall`.
pub const HOP: &str = "sassafrasgap-hop";
/// Between nodes: an encoded `HopAnswer`.
pub const HOP_ANSWER: &str = "sassafrasgap-hop-answer";
/// Between nodes: how long a call may wait for admission, in milliseconds, if its sender stops before
/// the call's deadline.
pub const MAX_WAIT_MS: &str = "sassafrasgap-max-wait-ms";
/// From backend servers: `1` on a 503 answer to a request that was shed before it was started.
pub const SHED: &str = "sassafrasgap-shed";
/// From backend servers, in their answers: the advertised rate, in requests per second from all
/// nodes together.
pub const RATE_LIMIT: &str = "sassafrasgap-rate-limit";

/// The prefix of every header of this project.
///
/// The callers' listener drops incoming headers with this prefix unless [`CALLER_MAY_SET`] lists
/// them, so that a caller cannot forge a class, a retry allotment or an identity.
pub const PREFIX: &str = "sassafrasgap-";
/// The headers with [`PREFIX`] that a caller may set.
pub const CALLER_MAY_SET: &[&str] = &[DEADLINE_MS];
