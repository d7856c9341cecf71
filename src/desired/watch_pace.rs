//! How closely a node follows the operator's row in the store.

use crate::core::Target;
use crate::core::TargetState;
use crate::core::View;

/// How long a question of a domain's watcher stays open, in milliseconds. With the time that its
/// answer may take it ends within 3 s: an outage that swallowed it is noticed before the store
/// counts as calm again.
const WATCHER_WAIT_MS: u64 = 2_000;
/// The same for all other nodes.
const OTHER_WAIT_MS: u64 = 8_000;
/// The longest pause of a watcher after failures, in milliseconds: well within the time in which a
/// change has to be in force.
const WATCHER_PAUSE_MS: u64 = 1_000;
/// The same for all other nodes. Every call of an outage is paid for as well.
const OTHER_PAUSE_MS: u64 = 4_000;

/// How a node asks the store for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPace {
    /// How long one question may stay open.
    pub wait_ms: u64,
    /// The longest pause after failures.
    pub longest_pause_ms: u64,
}

impl WatchPace {
    /// The pace of a failure domain's watcher, and of a node that knows no desired state yet.
    pub const WATCHER: Self = Self {
        wait_ms: WATCHER_WAIT_MS,
        longest_pause_ms: WATCHER_PAUSE_MS,
    };
    /// The pace of all others.
    pub const OTHER: Self = Self {
        wait_ms: OTHER_WAIT_MS,
        longest_pause_ms: OTHER_PAUSE_MS,
    };

    /// The pace of a node: one of each failure domain watches closely, that with the first name
    /// among those that live.
    ///
    /// While the store works, every question is answered at the change itself, however long it stays
    /// open. Guards against the question that an outage has swallowed: its node is deaf until the
    /// question's time is up. A watcher's time is short, and it tells all others by gossip; the
    /// others' own questions are for the case that they are cut off from every watcher. Calls to the
    /// store are paid for, so there is one watcher a domain, and those of other domains stand in
    /// for it.
    pub fn of(view: &View, node: &str, domain: &str) -> Self {
        let peers = view.nodes.values();
        let mut peers = peers.filter(|peer| &*peer.domain == domain && lives(peer));
        if peers.any(|peer| &*peer.node < node) {
            Self::OTHER
        } else {
            Self::WATCHER
        }
    }
}

fn lives(peer: &Target) -> bool {
    !matches!(
        peer.state,
        TargetState::Suspect | TargetState::Dead | TargetState::Left
    )
}
