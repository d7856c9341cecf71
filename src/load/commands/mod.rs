//! The subcommands of `sassafrasgap-load`.

pub mod calibrate;
pub mod demo;
pub mod experiment;
mod finish;
pub mod generate;
pub mod replay;
pub mod report;
pub mod run;
mod sending;
