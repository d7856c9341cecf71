//! Errors of meshes of local processes and of the capacity experiment.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;

use thiserror::Error;

use crate::core::Name;
use crate::errors::ConfigError;

/// Why a mesh of processes cannot be started or controlled.
#[derive(Debug)]
#[derive(Error)]
pub enum MeshError {
    #[error("cannot determine the path of this program: {0}")]
    CurrentExe(io::Error),
    #[error("{} is missing; build it with `cargo build --release`", path.display())]
    NoProgram { path: PathBuf },
    #[error("no free block of loopback addresses; the system needs 127.0.0.0/8 as loopback")]
    NoAddress,
    #[error("cannot write {}: {source}", path.display())]
    Write { path: PathBuf, source: io::Error },
    #[error("cannot relay at {address}: {source}")]
    Relay {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("cannot start {name}: {source}")]
    Start { name: Name, source: io::Error },
    #[error("{name} is not running")]
    NotRunning { name: Name },
    #[error("{name} is still running after {wait_ms} ms")]
    StillRuns { name: Name, wait_ms: u64 },
    #[error("{name} ended ({status}): {output}")]
    Ended {
        name: Name,
        status: ExitStatus,
        /// The last line that it printed.
        output: String,
    },
    #[error("cannot signal {name}: {source}")]
    Signal {
        name: Name,
        source: rustix::io::Errno,
    },
    #[error("{name} was not ready after {wait_ms} ms: {last}")]
    NotReady {
        name: Name,
        wait_ms: u64,
        last: String,
    },
    #[error("the presets cannot be published: {0}")]
    Publish(#[from] ConfigError),
    #[error("no answer from {uri}: {why}")]
    Call { uri: String, why: String },
    #[error("unexpected answer from {uri}: {source}")]
    Json {
        uri: String,
        source: serde_json::Error,
    },
}

/// Why the capacity experiment failed.
#[derive(Debug)]
#[derive(Error)]
pub enum CapacityError {
    #[error("process {pid} is gone")]
    ProcessGone { pid: u32 },
    #[error("{nodes} nodes did not reach the expected state within {limit_ms} ms: {what}")]
    NotReached {
        what: &'static str,
        nodes: usize,
        limit_ms: u64,
    },
    #[error("no node is left")]
    NoNodes,
    #[error("{}: cannot be drawn: {reason}", path.display())]
    Plot { path: PathBuf, reason: String },
    #[error(transparent)]
    Mesh(#[from] MeshError),
    #[error(transparent)]
    Config(#[from] ConfigError),
}
