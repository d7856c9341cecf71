//! The load endpoint, which may lag, lie or stop.

use serde::Deserialize;
use serde::Serialize;

use crate::backend::Backend;
use crate::backend::LifeState;
use crate::backend::LoadMode;
use crate::core::TimeMs;

/// How old the figures of a lagging load endpoint may get.
const LAG_MS: u64 = 5_000;

/// The answer of `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendLoad {
    pub slots: u32,
    pub in_use: u32,
    pub queued: u32,
    pub draining: bool,
    pub warm: bool,
}

/// The figures that a lagging endpoint repeats.
#[derive(Clone, Debug, Default)]
pub struct OldLoad {
    taken_at: TimeMs,
    load: Option<BackendLoad>,
}

/// What the endpoint says in its present mode; waits for ever when it is silent.
pub async fn reported_load(backend: &Backend) -> BackendLoad {
    let honest = honest_load(backend);
    match backend.behaviour().load {
        LoadMode::Honest => honest,
        LoadMode::Lagging => backend.lagging_load(honest),
        LoadMode::AlwaysIdle => BackendLoad {
            in_use: 0,
            queued: 0,
            ..honest
        },
        LoadMode::AlwaysFull => BackendLoad {
            in_use: honest.slots,
            queued: honest.slots,
            ..honest
        },
        LoadMode::Silent => std::future::pending().await,
    }
}

fn honest_load(backend: &Backend) -> BackendLoad {
    BackendLoad {
        slots: backend.settings.slots,
        in_use: backend.slots.in_use(),
        queued: backend.slots.queued(),
        draining: backend.life() != LifeState::Up,
        warm: backend.is_warm(),
    }
}

impl OldLoad {
    /// The kept figures, or `honest` once they are too old.
    pub fn repeat(&mut self, honest: BackendLoad, now: TimeMs) -> BackendLoad {
        let too_old = now.since(self.taken_at) > LAG_MS;
        if too_old || self.load.is_none() {
            self.taken_at = now;
            self.load = Some(honest.clone());
        }
        self.load.clone().unwrap_or(honest)
    }
}
