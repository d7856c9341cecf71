//! Errors of the configuration and of operators' commands.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::core::Name;
use crate::errors::PlatformError;
use crate::errors::SettingsError;

/// Why the configuration could not be read or changed.
#[derive(Debug)]
#[derive(Error)]
pub enum ConfigError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Platform(#[from] PlatformError),
    #[error(
        "not changed: version {version} is in force, preset {preset}, by {operator} \
         (change {change_id})"
    )]
    Conflict {
        version: u64,
        preset: Name,
        operator: Name,
        change_id: Name,
    },
    #[error("not published: another operator published revision {revision} of preset {preset}")]
    PublishConflict { preset: Name, revision: u64 },
    #[error("preset {preset} has not been published; published are: {known}")]
    UnknownPreset { preset: Name, known: String },
    #[error(
        "the answer was lost and what became of the change cannot be found out now; \
         ask again with --change-id {change_id}"
    )]
    OutcomeUnknown { change_id: Name },
    #[error("the document has {bytes} bytes, but at most {limit_bytes} are accepted")]
    TooLarge { bytes: usize, limit_bytes: usize },
    #[error("row {key} of the platform is not understood: {source}")]
    MalformedRow {
        key: Name,
        source: serde_json::Error,
    },
    #[error("row {key} of the platform is missing or not the document that is in force")]
    DocumentMissing { key: Name },
}

/// Why an operator's command failed.
#[derive(Debug)]
#[derive(Error)]
pub enum CtlError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("give {option} ADDRESS or set {variable} to an IP address with port")]
    Usage {
        option: &'static str,
        variable: &'static str,
    },
    #[error("node {node} cannot be reached: {why}")]
    NodeUnreachable { node: SocketAddr, why: String },
    #[error("node {node} answered {status}: {text}")]
    NodeRefused {
        node: SocketAddr,
        status: u16,
        text: String,
    },
    #[error("node {node} answered what is not understood: {source}")]
    NodeUnreadable {
        node: SocketAddr,
        source: serde_json::Error,
    },
    #[error("log {file} cannot be read: {source}")]
    LogUnreadable { file: String, source: io::Error },
    #[error("cannot start: {source}")]
    Start { source: io::Error },
}
