//! Callers for tests, demos and measurements.

use std::env;
use std::process::ExitCode;

use sassafrasgap::load::cli;

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    cli::main_with(&arguments)
}
