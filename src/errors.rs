//! Every failure of the product, by type. No bare strings travel as errors.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;
use thiserror::Error;

use crate::core::Name;

/// A message between nodes that cannot be understood.
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

/// A value of a load plan that makes no sense.
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

/// What can go wrong in a load run.
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
    #[error("a caller panicked; the run is worthless")]
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

/// What can go wrong in an experiment.
#[derive(Debug)]
#[derive(Error)]
pub enum ExperimentError {
    #[error("{text:?} is no change of a setting; give key=value, such as control_enabled=false")]
    Change { text: String },
    #[error("the run log of {target} lost lines; nothing can be said of its runs")]
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

    /// Whether the caller of the program is to correct something; nothing was sent then.
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

fn joined<T: ToString>(problems: &[T]) -> String {
    let texts: Vec<String> = problems.iter().map(T::to_string).collect();
    texts.join("; ")
}

/// A request to the platform that did not do what was asked.
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

/// A script of faults that cannot be followed.
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

/// One thing that is wrong in a settings, preset or deployment file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Problem {
    /// Path of the field, such as `rules[2].class`; empty for the document as a whole.
    pub field: String,
    /// The value as written, shortened.
    pub value: String,
    /// What would be right.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let field = if self.field.is_empty() {
            "(document)"
        } else {
            &self.field
        };
        write!(f, "{field}: is {}; {}", self.value, self.expected)
    }
}

/// A file that cannot be used, with everything that is wrong in it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error, Serialize)]
#[error("{}", list_problems(file, problems))]
pub struct SettingsError {
    pub file: String,
    pub problems: Vec<Problem>,
}

fn list_problems(file: &str, problems: &[Problem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{file}: {problem}"))
        .collect();
    lines.join("\n")
}

/// A stand-in backend server that cannot start.
#[derive(Debug)]
#[derive(Error)]
pub enum BackendError {
    #[error("cannot read the settings {}: {source}", path.display())]
    ReadSettings { path: PathBuf, source: io::Error },
    #[error("the settings {} are not right: {source}", path.display())]
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

/// A body that is not what was announced.
#[derive(Debug)]
#[derive(Error)]
pub enum BodyError {
    #[error("the body ended before its announced length")]
    CutShort,
    #[error("the body is longer than announced")]
    TooLong,
    #[error("nothing came of the body for too long")]
    Stalled,
}

/// A node that cannot start.
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

/// An answer of a peer that must not be passed on.
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

/// A gossip datagram that cannot be used; it is counted and dropped.
#[derive(Debug)]
#[derive(Error)]
pub enum GossipError {
    #[error("the datagram is empty")]
    Empty,
    #[error("the datagram is of version {theirs}, this node speaks {ours}")]
    Version { theirs: u8, ours: u8 },
    #[error("the datagram cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// A control call that brought no answer.
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

/// The control thread cannot start.
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

/// A slot map or a transfer of a ledger that cannot be understood.
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

/// A mesh of processes that cannot be started or does not do as it is told.
#[derive(Debug)]
#[derive(Error)]
pub enum MeshError {
    #[error("cannot find the program that runs: {0}")]
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
    #[error("{name} does not run")]
    NotRunning { name: Name },
    #[error("{name} still runs after {wait_ms} ms")]
    StillRuns { name: Name, wait_ms: u64 },
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
    #[error("{uri} answered something else: {source}")]
    Json {
        uri: String,
        source: serde_json::Error,
    },
}

/// A change or a read of the configuration that did not succeed.
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

/// A command of an operator that did not succeed.
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

/// An experiment that could not be carried out.
#[derive(Debug)]
#[derive(Error)]
pub enum CapacityError {
    #[error("process {pid} is gone")]
    ProcessGone { pid: u32 },
    #[error("{nodes} nodes did not get there within {limit_ms} ms: {what}")]
    Never {
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
        !matches!(self, Self::NoAnswer(_) | Self::Malformed(_))
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
    #[error("the answer is longer than {most_bytes} bytes")]
    TooLong { most_bytes: usize },
    /// All bodies together may not take more memory.
    #[error("bodies take all of the {most_bytes} bytes that they may")]
    NoMemory { most_bytes: usize },
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
