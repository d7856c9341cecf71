//! Errors of nodes whose operator keeps the desired state in a store: of the store, of requests, of
//! reports and of the start.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::errors::ControlError;
use crate::errors::joined::joined;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum StoreError {
    /// Nothing was sent: no connection could be made.
    #[error("the store cannot be reached: {0}")]
    Unreachable(String),
    /// The call was sent and not answered. A write may have been done, or may still be done later.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// Nothing was done: the store is not available.
    #[error("the store is not available")]
    Unavailable,
    /// Nothing was done: the store's rate limit was exceeded.
    #[error("the store takes no more calls for now")]
    TooManyCalls,
    /// The requested history is no longer available: the table has to be read again.
    #[error("the store has dropped the history asked for")]
    HistoryGone,
    /// Nothing was done: the row is at another version.
    #[error("the row is at version {version}")]
    Conflict { version: u64 },
    /// The answer, or the state it is based on, predates a restore of the store from an older copy.
    /// What was done may have been undone.
    #[error("the answer is of era {era} of the store, which is at {newest}")]
    EarlierEra { era: u64, newest: u64 },
    /// The store rejected the call as invalid.
    #[error("the store refused the call with status {status}")]
    Refused { status: u16 },
    /// The answer cannot be parsed.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Whether the call certainly had no effect and will have none later.
    pub fn is_not_done(&self) -> bool {
        !matches!(
            self,
            Self::NoAnswer(_) | Self::Malformed(_) | Self::EarlierEra { .. }
        )
    }
}

/// Why a request got no answer, or why a body could not be read.
#[derive(Debug)]
#[derive(Error)]
pub enum SendError {
    /// No part of the request left this process.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// A connection was lost before any part of the request left this process.
    #[error("lost before it was sent: {0}")]
    Unsent(hyper::Error),
    /// The request may have arrived.
    #[error("lost after it was sent: {0}")]
    Lost(#[from] hyper::Error),
    /// The body is longer than the limit for one body.
    #[error("the answer is longer than {max_bytes} bytes")]
    TooLong { max_bytes: usize },
    /// The memory budget for all bodies together has too little left for this body.
    #[error("too little is left for the body of the {max_bytes} bytes for all bodies")]
    NoMemory { max_bytes: usize },
}

impl SendError {
    /// Whether the server certainly never received the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Unsent(_))
    }
}

/// Why a backend server's report was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum ReportError {
    #[error("the report cannot be read: {0}")]
    Malformed(String),
    #[error("{field} is missing")]
    Missing { field: &'static str },
    #[error("the service {0:?} is not in the desired state in force")]
    UnknownService(String),
}

/// Why a desired state was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum DesiredStateError {
    #[error("the desired state cannot be read: {0}")]
    Malformed(String),
    #[error("{}", joined(problems))]
    Invalid { problems: Vec<String> },
}

/// Why a node cannot start to serve.
#[derive(Debug)]
#[derive(Error)]
pub enum TrafficError {
    #[error("{listener}: {address} cannot be bound: {source}")]
    Bind {
        listener: &'static str,
        address: SocketAddr,
        source: io::Error,
    },
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Why logging cannot be started.
#[derive(Debug)]
#[derive(Error)]
pub enum LoggingError {
    #[error("the log's thread cannot be started: {0}")]
    Thread(#[from] io::Error),
    #[error(transparent)]
    Taken(#[from] log::SetLoggerError),
}
