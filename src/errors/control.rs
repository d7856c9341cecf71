//! Errors of gossip, control calls and claims.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a gossip datagram was rejected. Such datagrams are counted and dropped.
#[derive(Debug)]
#[derive(Error)]
pub enum GossipError {
    #[error("the datagram is empty")]
    Empty,
    #[error("the datagram has version {theirs}, this node supports {ours}")]
    Version { theirs: u8, ours: u8 },
    #[error("the datagram cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// Why a control call failed.
#[derive(Debug)]
#[derive(Error)]
pub enum PeerCallError {
    #[error("no answer in time")]
    Timeout,
    #[error("the peer cannot be reached: {0}")]
    Unreachable(#[from] io::Error),
    #[error("the control call failed: {0}")]
    Call(#[from] tarpc::client::RpcError),
    #[error("the control thread has ended")]
    Stopped,
}

/// Why the control thread cannot start.
#[derive(Debug)]
#[derive(Error)]
pub enum ControlError {
    #[error("control address {address} cannot be bound: {source}")]
    Bind {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("the control thread cannot be started: {0}")]
    Start(#[from] io::Error),
}

/// Why a slot map or a ledger transfer is invalid.
#[derive(Debug)]
#[derive(Error)]
pub enum ClaimsError {
    #[error("the row is not a slot map: {source}")]
    Row { source: serde_json::Error },
    #[error("the row has {slots} slots")]
    SlotCount { slots: usize },
    #[error("the row names the owner {owner:x} that is no member")]
    UnlistedOwner { owner: u64 },
    #[error("the transfer of a ledger cannot be decoded: {source}")]
    Transfer { source: postcard::Error },
}
