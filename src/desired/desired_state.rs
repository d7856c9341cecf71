//! The complete desired state under one version.

use serde::Deserialize;
use serde::Serialize;

use crate::accounts::Account;
use crate::core::Name;
use crate::desired::ClientLimits;
use crate::desired::Route;

/// The operator's configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceConf {
    pub name: Name,
    /// Path of the backend servers' health check.
    pub health_check_path: Name,
    /// Maximum number of connections that one backend server accepts from all callers together.
    pub max_connections: u32,
}

/// The operator's complete configuration. A higher version replaces a lower one as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DesiredState {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<ServiceConf>,
    pub limits: ClientLimits,
    /// The client accounts; `None` if no request needs a key.
    pub accounts: Option<Vec<Account>>,
}
