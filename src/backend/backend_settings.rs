//! Settings of a stand-in backend server, as written in YAML.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;

use crate::backend::ServiceTime;
use crate::errors::BackendError;

/// A call that a backend server makes to a further service while it works for its caller.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChildCall {
    pub service: String,
    #[serde(default = "get")]
    pub method: String,
    /// The path at the further service, beginning with `/`.
    pub path: String,
    /// Sends an `Idempotency-Key` derived from the parent's key, when the parent has one.
    #[serde(default)]
    pub with_key: bool,
    /// How many of a hundred parents make the call.
    #[serde(default = "always")]
    pub share_percent: u8,
}

/// A large body that is streamed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ArchiveSettings {
    pub size_bytes: u64,
    pub rate_bytes_per_s: u64,
}

/// What is done for calls whose path begins with a prefix. The first route that matches is taken.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    pub path_prefix: String,
    /// Every method when it is left out.
    #[serde(default)]
    pub method: Option<String>,
    /// The service time of the whole backend server when it is left out.
    #[serde(default)]
    pub service_time: Option<ServiceTime>,
    #[serde(default)]
    pub children: Vec<ChildCall>,
    /// Makes the calls of `children` at the same time instead of one after the other.
    #[serde(default)]
    pub parallel: bool,
    #[serde(default)]
    pub archive: Option<ArchiveSettings>,
}

/// Everything that a stand-in backend server has to know before it starts.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSettings {
    pub service: String,
    /// A name for answers; made of the service and the port when it is empty.
    pub instance: String,
    pub listen: SocketAddr,
    /// What it announces instead of `listen`, where something stands in between.
    pub announced_address: Option<SocketAddr>,
    /// The local listener of its node, such as `http://127.0.0.1:7001`; it announces nothing and
    /// makes no calls without one.
    pub node: Option<String>,
    pub slots: u32,
    /// Calls beyond the slots wait; beyond this many in sum they are refused.
    pub connections: u32,
    pub service_time: ServiceTime,
    pub seed: u64,
    /// How long it stays cold after its start.
    pub warm_ms: u64,
    /// How many times as long calls take while it is cold.
    pub cold_factor: f64,
    /// Sheds calls while more than this many wait.
    pub shed_above_queued: Option<u32>,
    pub honours_deadlines: bool,
    pub honours_cancellation: bool,
    /// The length of the padding of each answer.
    pub padding_bytes: usize,
    pub routes: Vec<RouteSettings>,
    /// Gets a line at each start and end of a run, since a crash loses the memory.
    pub run_log: Option<PathBuf>,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            service: "echo".to_string(),
            instance: String::new(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            announced_address: None,
            node: None,
            slots: 10,
            connections: 1_000,
            service_time: ServiceTime::fixed(5.0),
            seed: 1,
            warm_ms: 0,
            cold_factor: 3.0,
            shed_above_queued: None,
            honours_deadlines: true,
            honours_cancellation: true,
            padding_bytes: 0,
            routes: Vec::new(),
            run_log: None,
        }
    }
}

impl BackendSettings {
    /// Reads settings from a YAML file.
    ///
    /// # Errors
    /// When the file cannot be read or does not hold settings.
    pub fn read(path: &Path) -> Result<Self, BackendError> {
        let text = std::fs::read_to_string(path).map_err(|source| BackendError::ReadSettings {
            path: path.to_path_buf(),
            source,
        })?;
        serde_yaml_ng::from_str(&text).map_err(|source| BackendError::ParseSettings {
            path: path.to_path_buf(),
            source,
        })
    }

    /// The settings as a document that [`Self::read`] reads back to the same value.
    pub fn to_yaml(&self) -> String {
        serde_yaml_ng::to_string(self).expect("plain structs always encode")
    }

    /// The route of a call, if one is set.
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteSettings> {
        self.routes.iter().find(|route| {
            path.starts_with(&route.path_prefix)
                && route.method.as_deref().is_none_or(|only| only == method)
        })
    }
}

fn get() -> String {
    "GET".to_string()
}

fn always() -> u8 {
    100
}
