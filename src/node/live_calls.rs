//! The calls that run at the local backend server, looked up when it calls on.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::core::FastMap;
use crate::core::Priority;
use crate::core::RequestId;
use crate::core::TimeMs;
use crate::retry::Allotment;

/// What a child call inherits.
pub(super) struct LiveCall {
    pub(super) request: RequestId,
    pub(super) priority: Priority,
    pub(super) depth: u8,
    pub(super) deadline: TimeMs,
    pub(super) allotment: Mutex<Allotment>,
}

impl LiveCall {
    /// Takes a share for a child call out of the allotment.
    pub(super) fn hand_out(&self) -> u16 {
        self.lock().hand_out()
    }

    /// Puts back what a child left of its share.
    pub(super) fn take_back(&self, share: u16, unused: u16) {
        self.lock().take_back(share, unused);
    }

    /// Pays for a further attempt of a child; false when nothing is left.
    pub(super) fn spend(&self) -> bool {
        self.lock().spend()
    }

    /// Takes everything that is left, when the answer goes out: what a child gives back later
    /// counts as used.
    pub(super) fn close_allotment(&self) -> u16 {
        let mut allotment = self.lock();
        let left = allotment.left();
        *allotment = Allotment::new(0);
        left
    }

    fn lock(&self) -> MutexGuard<'_, Allotment> {
        self.allotment.lock().expect("no holder panics")
    }
}

/// Live calls by their unguessable context. Bounded by the guard's limit on calls in flight: an
/// entry is made when a call starts and goes with its [`LiveCallEntry`].
pub(super) struct LiveCalls {
    by_context: Mutex<FastMap<u128, Arc<LiveCall>>>,
}

impl LiveCalls {
    pub(super) fn new() -> Self {
        Self {
            by_context: Mutex::new(FastMap::default()),
        }
    }

    /// Enters a call and returns the context to give to the backend server.
    pub(super) fn enter(&self, call: Arc<LiveCall>) -> u128 {
        let context = fastrand::u128(..);
        let mut by_context = self.by_context.lock().expect("no holder panics");
        by_context.insert(context, call);
        context
    }

    /// The call with this context, as the backend server sent it.
    pub(super) fn find(&self, context: &str) -> Option<Arc<LiveCall>> {
        let context = u128::from_str_radix(context, 16).ok()?;
        let by_context = self.by_context.lock().expect("no holder panics");
        by_context.get(&context).cloned()
    }

    /// Removes a call that has ended.
    pub(super) fn leave(&self, context: u128) {
        let mut by_context = self.by_context.lock().expect("no holder panics");
        by_context.remove(&context);
    }
}
