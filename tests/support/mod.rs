//! What several test files share.

#![allow(dead_code)]

mod test_platform;

pub use test_platform::TestPlatform;
