//! The main job in one command: a small mesh of real processes under ordinary load, a fault, a
//! surge and recovery, and the report of it.

mod demo_faults;
mod demo_files;
mod demo_run;

pub use demo_run::DemoOptions;
pub use demo_run::run_demo;
