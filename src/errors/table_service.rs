//! Errors of the platform client and of fault scripts.

use thiserror::Error;

use crate::core::Name;

/// Why a request to the platform failed.
#[derive(Debug)]
#[derive(Error)]
pub enum PlatformError {
    #[error("the platform is unavailable; nothing was done")]
    Unavailable,
    #[error("the platform refused the request because of its rate limit; nothing was done")]
    RateLimited,
    #[error("the platform did not answer the read in {timeout_ms} ms, twice")]
    ReadTimedOut { timeout_ms: u64 },
    #[error("the answer to a write was lost; the write may have taken effect")]
    OutcomeUnknown,
    #[error("row {key} is at version {version:?}, not at the one expected; nothing was written")]
    Conflict {
        key: Name,
        /// `None` when the row does not exist.
        version: Option<u64>,
        value: Option<String>,
    },
    #[error("the platform rejected the request as invalid, status {status}")]
    Rejected { status: u16 },
    #[error("the platform answered what is not understood: {source}")]
    Malformed { source: serde_json::Error },
    #[error("{key:?} cannot be the key of a row or the name of an object")]
    InvalidKey { key: String },
}

/// Why a fault script is invalid.
#[derive(Debug)]
#[derive(Error)]
pub enum FaultScriptError {
    #[error("the fault script is not valid: {0}")]
    Yaml(#[from] serde_yaml_ng::Error),
    #[error("error_share is {share}, but a share lies between 0 and 1")]
    Share { share: f64 },
    #[error("more than {limit} faults are planned or active")]
    TooMany { limit: usize },
}
