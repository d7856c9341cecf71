//! How recent the state received by gossip is, readable from every thread.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::core::TimeMs;

/// When gossip was last received from any node, and when the store was last known to hold no newer
/// configuration than the one in force here.
#[derive(Debug, Default)]
pub struct Freshness {
    heard_ms: AtomicU64,
    confirmed_ms: AtomicU64,
}

impl Freshness {
    /// Both times start at `now`, the start of the node.
    pub fn new(now: TimeMs) -> Self {
        let this = Self::default();
        this.record_heard(now);
        this.record_confirmed(now);
        this
    }

    /// When the last datagram of another node was received.
    pub fn last_heard(&self) -> TimeMs {
        TimeMs(self.heard_ms.load(Ordering::Relaxed))
    }

    /// When the store was last known to hold no newer configuration.
    pub fn last_confirmed(&self) -> TimeMs {
        TimeMs(self.confirmed_ms.load(Ordering::Relaxed))
    }

    pub(super) fn record_heard(&self, at: TimeMs) {
        self.heard_ms.fetch_max(at.0, Ordering::Relaxed);
    }

    pub(super) fn record_confirmed(&self, at: TimeMs) {
        self.confirmed_ms.fetch_max(at.0, Ordering::Relaxed);
    }
}
