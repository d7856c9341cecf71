//! Helpers shared by several test files.

#![allow(dead_code)]
#![allow(unused_imports)]

pub mod ctl;
pub mod presets;
pub mod test_mesh;
mod test_platform;
pub mod test_relay;

pub use test_platform::TestPlatform;
