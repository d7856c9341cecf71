//! Presets: what operators say matters most and how long each kind of work may wait.

mod call_policy;
mod preset;

pub use call_policy::CallPolicy;
pub use preset::ClassPolicy;
pub use preset::InForce;
pub use preset::Preset;
pub use preset::Rule;
