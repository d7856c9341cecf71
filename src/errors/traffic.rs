//! The way of a request on a deployment whose operator keeps the desired state in a store.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::errors::ControlError;
use crate::errors::joined::joined;

/// What can go wrong at a store of rows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum StoreError {
    /// Nothing was sent: no connection could be made.
    #[error("the store cannot be reached: {0}")]
    Unreachable(String),
    /// The call was sent and not answered, so a write may have been done or may be done later.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// Nothing was done: the store is not available.
    #[error("the store is not available")]
    Unavailable,
    /// Nothing was done: more calls came than the store takes.
    #[error("the store takes no more calls for now")]
    TooManyCalls,
    /// The history that was asked for is gone: the table has to be read anew.
    #[error("the store has dropped the history asked for")]
    HistoryGone,
    /// Nothing was done: the row is at another version.
    #[error("the row is at version {version}")]
    Conflict { version: u64 },
    /// The answer, or what it rests on, is of before the store was restored from an older copy: what was
    /// done may be undone.
    #[error("the answer is of era {era} of the store, which is at {newest}")]
    EarlierEra { era: u64, newest: u64 },
    /// The store does not take this call as it is.
    #[error("the store refused the call with status {status}")]
    Refused { status: u16 },
    /// The answer cannot be understood.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Whether nothing was done and nothing will be.
    pub fn is_not_done(&self) -> bool {
        !matches!(
            self,
            Self::NoAnswer(_) | Self::Malformed(_) | Self::EarlierEra { .. }
        )
    }
}

/// A request that was not answered by the one it was sent to.
#[derive(Debug)]
#[derive(Error)]
pub enum SendError {
    /// Nothing of the request left this process.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The request may have arrived.
    #[error("lost after it was sent: {0}")]
    Lost(#[from] hyper::Error),
    /// The body of the answer is longer than may be held.
    #[error("the answer is longer than {max_bytes} bytes")]
    TooLong { max_bytes: usize },
    /// All bodies together may not take more memory.
    #[error("bodies take all of the {max_bytes} bytes that they may")]
    NoMemory { max_bytes: usize },
}

impl SendError {
    /// Whether the other side certainly never saw the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

/// A report of a backend server that cannot be taken in.
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

/// A desired state that cannot be taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum DesiredStateError {
    #[error("the desired state cannot be read: {0}")]
    Malformed(String),
    #[error("{}", joined(problems))]
    Invalid { problems: Vec<String> },
}

/// What can go wrong when a node starts to serve.
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

/// Why the log cannot be written.
#[derive(Debug)]
#[derive(Error)]
pub enum LoggingError {
    #[error("the log's thread cannot be started: {0}")]
    Thread(#[from] io::Error),
    #[error(transparent)]
    Taken(#[from] log::SetLoggerError),
}
