//! How fresh what gossip tells is, readable from every thread.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::core::TimeMs;

/// When gossip was last heard from anybody, and when the store was last known to hold no newer
/// configuration than the one in force here.
#[derive(Debug, Default)]
pub struct Freshness {
    heard_ms: AtomicU64,
    confirmed_ms: AtomicU64,
}

impl Freshness {
    /// A node that starts `now` counts both times from there.
    pub fn new(now: TimeMs) -> Self {
        let this = Self::default();
        this.record_heard(now);
        this.record_confirmed(now);
        this
    }

    /// The last datagram of another node came then.
    pub fn last_heard(&self) -> TimeMs {
        TimeMs(self.heard_ms.load(Ordering::Relaxed))
    }

    /// The store was last known then to hold nothing newer.
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
