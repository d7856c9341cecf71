//! Where a backend server stands in its life, as it announces it to its node.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The state that is announced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LifeState {
    #[default]
    Up,
    /// Finishes what it has and asks for nothing new.
    Draining,
    /// Has finished.
    #[serde(rename = "left")]
    Leaving,
}

/// The body of `POST /announce` at the node's local listener.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub connections: u32,
    pub state: LifeState,
}
