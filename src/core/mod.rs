//! Types shared by all modules: time, names, identifiers, priorities and outcomes.

mod clock;
mod collections;
mod identifiers;
mod names;
mod outcome;
mod priority;
mod published;
mod route_origin;
mod stable_hash;
mod view;

pub use clock::Clock;
pub use clock::TimeMs;
pub use clock::unix_ms;
pub use collections::FastMap;
pub use collections::FastSet;
pub use collections::SharedMap;
pub use identifiers::AttemptId;
pub use identifiers::RequestId;
pub use identifiers::fingerprint_of;
pub use names::Name;
pub use outcome::Refusal;
pub use outcome::RefusalReason;
pub use outcome::RetryReason;
pub use outcome::RunState;
pub use priority::Priority;
pub use published::Published;
pub use route_origin::RouteOrigin;
pub use stable_hash::stable_hash;
pub use view::Target;
pub use view::TargetState;
pub use view::View;
