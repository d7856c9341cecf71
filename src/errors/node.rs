//! Errors of nodes and backend servers.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use crate::errors::ControlError;
use crate::errors::WireError;

/// Why a stand-in backend server cannot start.
#[derive(Debug)]
#[derive(Error)]
pub enum BackendError {
    #[error("cannot read the settings {}: {source}", path.display())]
    ReadSettings { path: PathBuf, source: io::Error },
    #[error("invalid settings {}: {source}", path.display())]
    ParseSettings {
        path: PathBuf,
        source: serde_yaml_ng::Error,
    },
    #[error("cannot open the run log {}: {source}", path.display())]
    OpenRunLog { path: PathBuf, source: io::Error },
    #[error("cannot listen: {0}")]
    Listen(io::Error),
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
}

/// Why a streamed body was aborted.
#[derive(Debug)]
#[derive(Error)]
pub enum BodyError {
    #[error("the body ended before its announced length")]
    CutShort,
    #[error("the body is longer than announced")]
    TooLong,
    #[error("no data of the body arrived in time")]
    Stalled,
}

/// Why a node cannot start.
#[derive(Debug)]
#[derive(Error)]
pub enum NodeError {
    #[error("cannot listen for {listener} on {address}: {source}")]
    Bind {
        listener: &'static str,
        address: SocketAddr,
        source: io::Error,
    },
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error("a metric cannot be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Why a peer's answer must not be forwarded.
#[derive(Debug)]
#[derive(Error)]
pub enum AnswerError {
    #[error(transparent)]
    Header(#[from] WireError),
    #[error("the answer is that of another attempt")]
    OtherAttempt,
    #[error("the answer has {actual} bytes where {announced} were announced")]
    OtherLength { announced: u64, actual: u64 },
}
