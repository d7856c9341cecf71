//! The local backend server as it announced itself.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::TargetState;

/// What a backend server sends to `POST /announce` on the local listener, in JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    pub service: Name,
    /// Where the backend server serves HTTP.
    pub address: SocketAddr,
    /// How many calls it runs at once.
    pub slots: u32,
    /// How many connections it takes.
    #[serde(default)]
    pub connections: u32,
    /// `starting`, `up` or `draining`; `left` when it has finished.
    #[serde(default = "announced_up")]
    pub state: TargetState,
}

fn announced_up() -> TargetState {
    TargetState::Up
}

/// What this node knows of its backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalBackend {
    /// `None` until the backend server announced itself.
    pub announced: Option<Announcement>,
    /// The node itself takes no new work, whatever the backend server says.
    pub node_draining: bool,
}

impl LocalBackend {
    /// The state that others should know.
    pub fn state(&self) -> TargetState {
        match &self.announced {
            _ if self.node_draining => TargetState::Draining,
            None => TargetState::Starting,
            Some(announcement) => announcement.state,
        }
    }

    /// Marks the backend server as down; whether that is news.
    pub fn mark_down(&mut self) -> bool {
        match &mut self.announced {
            Some(announced) if announced.state == TargetState::Up => {
                announced.state = TargetState::Starting;
                true
            }
            _ => false,
        }
    }

    /// Marks the node as stopping.
    pub fn drain(&mut self) {
        self.node_draining = true;
    }
}
