//! A whole desired state under one version.

use serde::Deserialize;
use serde::Serialize;

use crate::accounts::Account;
use crate::core::Name;
use crate::desired::ClientLimits;
use crate::desired::Route;

/// What the operator says of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceConf {
    pub name: Name,
    /// Path of the backend servers' health check.
    pub health_check_path: Name,
    /// How many connections one backend server accepts from all callers together.
    pub max_connections: u32,
}

/// Everything that the operator wants, in full. A higher version replaces a lower one whole.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DesiredState {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<ServiceConf>,
    pub limits: ClientLimits,
    /// The client accounts; `None` where no request needs a key.
    pub accounts: Option<Vec<Account>>,
}
