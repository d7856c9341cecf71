//! Admission control under overload, at the guard and for the whole call chain.
//!
//! The modules have no side effects: each takes a state, an input and a time, and returns actions.
//! The alternatives considered and the figures are in [docs/ADMISSION.md](../../docs/ADMISSION.md).

mod admission;
mod admission_conf;
mod arrival_ratio;
mod call_queue;
mod concurrency_limit;
mod dependencies;
mod drain_rate;
mod event_interval;
mod latency_limit;
mod level_control;
mod levels;
mod mean_run_time;
mod offered_call;
mod origins_by_domain;
mod pressure;
mod pressures;
mod rate_limit_state;
mod root_control;
mod root_level;
mod route_origins;
mod service_time;
mod token_bucket;
mod usable_slots;

pub use admission::Admission;
pub use admission_conf::AdmissionConf;
pub use dependencies::Dependencies;
pub use levels::Levels;
pub use levels::route_of;
pub use offered_call::Action;
pub use offered_call::CallOutcome;
pub use offered_call::Completion;
pub use offered_call::OfferDecision;
pub use offered_call::OfferedCall;
pub use origins_by_domain::CallingServices;
pub use origins_by_domain::ObservedCall;
pub use origins_by_domain::OriginsByDomain;
pub use pressure::Pressure;
pub use pressures::Pressures;
pub use rate_limit_state::AdvertisedRate;
pub use rate_limit_state::RateChange;
pub use rate_limit_state::RateLimitState;
pub use root_control::OverloadedService;
pub use root_control::RootControl;
pub use route_origins::CallingService;
pub use route_origins::RouteOrigins;
pub use token_bucket::TokenBucket;
pub use usable_slots::usable_slots;
