//! Presets, with which operators set the importance of each class of calls and how long its calls
//! may wait.

mod call_policy;
mod preset;

pub use call_policy::CallPolicy;
pub use preset::ClassPolicy;
pub use preset::InForce;
pub use preset::Preset;
pub use preset::Rule;
