//! What is known of one member.

use std::sync::Arc;

use crate::core::Target;
use crate::core::TargetState;
use crate::core::TimeMs;

/// What others say about a member, on top of what it says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Nobody doubts it.
    Alive,
    /// It did not answer; the suspicion began at this time of the local clock. It is first hand
    /// when a probe of this node's own failed.
    Suspected { since: TimeMs, first_hand: bool },
    /// It is taken to be gone.
    Dead,
}

/// One member as this node holds it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What the node said of itself last.
    pub record: Target,
    pub liveness: Liveness,
    /// When this record last changed here.
    pub changed: TimeMs,
    /// The record as it is published: `record` with the state that follows from the liveness.
    pub published: Arc<Target>,
}

impl Member {
    /// A trusted member from what it says of itself.
    pub fn new(record: Target, now: TimeMs) -> Self {
        Self {
            published: Arc::new(record.clone()),
            record,
            liveness: Liveness::Alive,
            changed: now,
        }
    }

    /// Gone for good, as far as is known: dead, or departed by its own word.
    pub fn is_tombstone(&self) -> bool {
        self.liveness == Liveness::Dead || self.record.state == TargetState::Left
    }

    /// Changes the liveness and what is published with it.
    pub fn set_liveness(&mut self, liveness: Liveness, now: TimeMs) {
        self.liveness = liveness;
        self.changed = now;
        let mut published = self.record.clone();
        published.state = self.effective_state();
        self.published = Arc::new(published);
    }

    /// The state that others should act on. A suspect that said it drains is still draining:
    /// suspicion must not make it look as if it took work.
    fn effective_state(&self) -> TargetState {
        match (self.liveness, self.record.state) {
            (_, TargetState::Left) => TargetState::Left,
            (Liveness::Dead, _) => TargetState::Dead,
            (Liveness::Suspected { .. }, TargetState::Up) => TargetState::Suspect,
            (_, own) => own,
        }
    }
}
