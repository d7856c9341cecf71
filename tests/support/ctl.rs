//! Runs the operators' command line tool as a process.

use std::process::Output;

use serde_json::Value;
use tokio::process::Command;

/// The output and exit code of the tool.
#[derive(Debug)]
pub struct CtlRun {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CtlRun {
    /// Parses the printed JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|_| panic!("no JSON: {self:?}"))
    }
}

/// Runs the tool in an environment that names no platform and no node.
pub async fn ctl(arguments: &[&str]) -> CtlRun {
    let run = Command::new(env!("CARGO_BIN_EXE_sassafrasgap-ctl"))
        .args(arguments)
        .env_remove("SASSAFRASGAP_PLATFORM")
        .env_remove("SASSAFRASGAP_NODE")
        .output();
    let Output {
        status,
        stdout,
        stderr,
    } = run.await.expect("the tool runs");
    CtlRun {
        code: status.code().expect("it was not killed"),
        stdout: String::from_utf8(stdout).expect("text"),
        stderr: String::from_utf8(stderr).expect("text"),
    }
}
