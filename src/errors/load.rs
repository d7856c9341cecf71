//! Errors of load runs and experiments.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

use crate::core::Name;
use crate::errors::ConfigError;
use crate::errors::MeshError;
use crate::errors::SettingsError;
use crate::errors::joined::joined;

/// An invalid value in a load plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Error)]
pub enum PlanProblem {
    #[error("{field}: empty; at least one entry is needed")]
    Empty { field: &'static str },
    #[error("{field}: {value}; a number above 0 is needed")]
    NotPositive { field: String, value: f64 },
    #[error("{field}: {value}; an HTTP method is needed, such as GET")]
    Method { field: String, value: Name },
    #[error("{field}: {value}; a path /<service>/<path> is needed")]
    Path { field: String, value: Name },
}

/// Why a load run failed.
#[derive(Debug)]
#[derive(Error)]
pub enum LoadError {
    #[error("{}: cannot be read: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    #[error("{}: cannot be written: {source}", path.display())]
    Write { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    Yaml {
        path: PathBuf,
        source: serde_yaml_ng::Error,
    },
    #[error("{}: {}", path.display(), joined(problems))]
    Plan {
        path: PathBuf,
        problems: Vec<PlanProblem>,
    },
    #[error("{}: line {line}: {source}", path.display())]
    TraceLine {
        path: PathBuf,
        line: usize,
        source: serde_json::Error,
    },
    #[error("{}: not a report: {source}", path.display())]
    ReportJson {
        path: PathBuf,
        source: serde_json::Error,
    },
    #[error("{}", joined(errors))]
    Deployment { errors: Vec<SettingsError> },
    #[error(transparent)]
    Mesh(#[from] MeshError),
    #[error("no entry to send to: give --entry or --deployment")]
    NoEntries,
    #[error("threads cannot be started: {source}")]
    Runtime { source: io::Error },
    #[error("cannot listen: {source}")]
    Listen { source: io::Error },
    #[error("a caller task panicked; the results of the run are invalid")]
    CallerPanicked,
    #[error("backend server {backend} does not answer GET /runs")]
    RunsUnreachable { backend: SocketAddr },
    #[error("backend server {backend} answers GET /runs with something else: {source}")]
    Runs {
        backend: SocketAddr,
        source: serde_json::Error,
    },
    #[error("backend server {backend} dropped {dropped} runs; give its run log instead")]
    RunsDropped { backend: SocketAddr, dropped: u64 },
    #[error("{}: cannot be drawn: {reason}", path.display())]
    Plot { path: PathBuf, reason: String },
}

/// Why an experiment failed.
#[derive(Debug)]
#[derive(Error)]
pub enum ExperimentError {
    #[error(
        "{text:?} is not a valid change of a setting; give key=value, such as control_enabled=false"
    )]
    Change { text: String },
    #[error("the run log of {target} lost lines, so its runs cannot be evaluated")]
    RunLogLost { target: Name },
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error(transparent)]
    Mesh(#[from] MeshError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("version {version} was not in force on every node after {wait_ms} ms")]
    NotInForce { version: u64, wait_ms: u64 },
}

impl LoadError {
    /// A file that cannot be read.
    pub fn read(path: &Path, source: io::Error) -> Self {
        let path = path.to_owned();
        Self::Read { path, source }
    }

    /// A file that cannot be written.
    pub fn write(path: &Path, source: io::Error) -> Self {
        let path = path.to_owned();
        Self::Write { path, source }
    }

    /// Whether the program's arguments or input files are invalid. No request was sent then.
    pub fn is_usage(&self) -> bool {
        matches!(
            self,
            Self::Read { .. }
                | Self::Yaml { .. }
                | Self::Plan { .. }
                | Self::TraceLine { .. }
                | Self::ReportJson { .. }
                | Self::Deployment { .. }
                | Self::NoEntries
        )
    }
}
