//! The state that is held about one member.

use std::sync::Arc;

use crate::core::Target;
use crate::core::TargetState;
use crate::core::TimeMs;

/// The state of a member according to failure detection, in addition to the state that it publishes
/// itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// The member is not under suspicion.
    Alive,
    /// A probe was not answered. `since` is the start of the suspicion on the local clock.
    /// `is_local` is set if one of this node's own probes failed.
    Suspected { since: TimeMs, is_local: bool },
    /// The member is considered dead.
    Dead,
}

/// One member as this node holds it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The last record that the member published of itself.
    pub record: Target,
    pub liveness: Liveness,
    /// When this entry last changed here.
    pub changed: TimeMs,
    /// The record as it is published here: `record` with the state that results from the liveness.
    pub published: Arc<Target>,
}

impl Member {
    /// A member that is alive, with the record that it published.
    pub fn new(record: Target, now: TimeMs) -> Self {
        Self {
            published: Arc::new(record.clone()),
            record,
            liveness: Liveness::Alive,
            changed: now,
        }
    }

    /// Whether the member is dead or has left.
    pub fn is_tombstone(&self) -> bool {
        self.liveness == Liveness::Dead || self.record.state == TargetState::Left
    }

    /// Sets the liveness and updates the published record.
    pub fn set_liveness(&mut self, liveness: Liveness, now: TimeMs) {
        self.liveness = liveness;
        self.changed = now;
        let mut published = self.record.clone();
        published.state = self.effective_state();
        self.published = Arc::new(published);
    }

    /// The state on which others should act. A suspected member that announced a drain is still
    /// draining: the suspicion must not make it look as if it accepted work.
    fn effective_state(&self) -> TargetState {
        match (self.liveness, self.record.state) {
            (_, TargetState::Left) => TargetState::Left,
            (Liveness::Dead, _) => TargetState::Dead,
            (Liveness::Suspected { .. }, TargetState::Up) => TargetState::Suspect,
            (_, reported) => reported,
        }
    }
}
