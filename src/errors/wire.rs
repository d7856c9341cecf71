//! Errors in messages between nodes.

use thiserror::Error;

/// Why a message from another node is invalid.
#[derive(Debug)]
#[derive(Error)]
pub enum WireError {
    #[error("header {header} is missing")]
    Missing { header: &'static str },
    #[error("header {header} is not valid base64")]
    Encoding { header: &'static str },
    #[error("header {header} cannot be decoded: {source}")]
    Decode {
        header: &'static str,
        source: postcard::Error,
    },
    #[error("the peer speaks protocol version {theirs}, this node speaks {ours}")]
    Version { theirs: u8, ours: u8 },
}
