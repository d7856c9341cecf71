//! The state that the local backend server announced.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::TargetState;

/// The body of `POST /announce` on the local listener, in JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    pub service: Name,
    /// The address at which the backend server serves HTTP.
    pub address: SocketAddr,
    /// How many calls the backend server runs concurrently.
    pub slots: u32,
    /// How many connections the backend server accepts.
    #[serde(default)]
    pub connections: u32,
    /// `starting`, `up` or `draining`, or `left` after it has finished.
    #[serde(default = "announced_up")]
    pub state: TargetState,
}

fn announced_up() -> TargetState {
    TargetState::Up
}

/// The state of the local backend server, with that of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalBackend {
    /// `None` until the backend server has announced itself.
    pub announced: Option<Announcement>,
    /// The node accepts no new work, whatever the backend server announces.
    pub node_draining: bool,
}

impl LocalBackend {
    /// The state to report to other nodes.
    pub fn state(&self) -> TargetState {
        match &self.announced {
            _ if self.node_draining => TargetState::Draining,
            None => TargetState::Starting,
            Some(announcement) => announcement.state,
        }
    }

    /// Marks the backend server as down. Returns whether this changed its state.
    pub fn mark_down(&mut self) -> bool {
        match &mut self.announced {
            Some(announced) if announced.state == TargetState::Up => {
                announced.state = TargetState::Starting;
                true
            }
            _ => false,
        }
    }

    /// Marks the node as draining.
    pub fn drain(&mut self) {
        self.node_draining = true;
    }
}
