//! The operators' tool.

use std::env;
use std::process::ExitCode;

use sassafrasgap::ctl::main_with;

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    main_with(&arguments)
}
