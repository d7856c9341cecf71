//! The calls that run at the local backend server, looked up when it calls on.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::Priority;
use crate::core::RequestId;
use crate::core::TimeMs;
use crate::node::child_clock::ChildClock;
use crate::node::child_keys::ChildKeys;
use crate::poison::RunningRequest;
use crate::retry::Allotment;

/// What a child call inherits. A caller's own call has one at its entry as well, for the allotment.
pub(super) struct LiveCall {
    pub(super) request: RequestId,
    pub(super) priority: Priority,
    pub(super) depth: u8,
    pub(super) deadline: TimeMs,
    /// The route by which levels of services are told apart.
    pub(super) route: Name,
    /// The hash of the content, by which a request that crashes backend servers is recognised.
    pub(super) fingerprint: u64,
    allotment: Mutex<Allotment>,
    children: Mutex<ChildClock>,
    /// Set for a call that the ledger admitted: it runs once in all.
    keys: Option<ChildKeys>,
}

impl LiveCall {
    pub(super) fn new(
        request: RequestId,
        priority: Priority,
        depth: u8,
        deadline: TimeMs,
        route: Name,
        fingerprint: u64,
        allotment: u16,
    ) -> Self {
        Self {
            request,
            priority,
            depth,
            deadline,
            route,
            fingerprint,
            allotment: Mutex::new(Allotment::new(allotment)),
            children: Mutex::new(ChildClock::default()),
            keys: None,
        }
    }

    /// Marks a call that runs under `key` at most once.
    pub(super) fn under_key(mut self, key: Option<Name>) -> Self {
        self.keys = key.map(ChildKeys::new);
        self
    }

    /// Whether a child call's key is sent for the first time ever.
    pub(super) fn is_first_sending(&self, service: &Name, key: &Name) -> bool {
        let keys = self.keys.as_ref();
        keys.is_some_and(|keys| keys.is_first_sending(service, key))
    }

    /// The call as a suspect, should the backend server crash.
    pub(super) fn running(&self) -> RunningRequest {
        RunningRequest {
            request: self.request,
            fingerprint: self.fingerprint,
        }
    }

    /// Takes a share for a child call out of the allotment.
    pub(super) fn hand_out(&self) -> u16 {
        self.allotment().hand_out()
    }

    /// Puts back what a child left of its share.
    pub(super) fn take_back(&self, share: u16, unused: u16) {
        self.allotment().take_back(share, unused);
    }

    /// Pays for a further attempt of a child; false when nothing is left.
    pub(super) fn spend(&self) -> bool {
        self.allotment().spend()
    }

    /// What can still be spent or handed out.
    pub(super) fn allotment_left(&self) -> u16 {
        self.allotment().left()
    }

    /// Takes everything that is left, when the answer goes out: what a child gives back later
    /// counts as used.
    pub(super) fn close_allotment(&self) -> u16 {
        let mut allotment = self.allotment();
        let left = allotment.left();
        *allotment = Allotment::new(0);
        left
    }

    /// A child call went out.
    pub(super) fn child_began(&self, now_us: u64) {
        self.children().begin(now_us);
    }

    /// A child call ended.
    pub(super) fn child_ended(&self, now_us: u64) {
        self.children().end(now_us);
    }

    /// Whether the backend server made any call on behalf of this one.
    pub(super) fn has_called_on(&self) -> bool {
        self.children().has_begun()
    }

    /// How long child calls were outstanding so far.
    pub(super) fn child_us(&self, now_us: u64) -> u64 {
        self.children().total_us(now_us)
    }

    fn allotment(&self) -> MutexGuard<'_, Allotment> {
        self.allotment.lock().expect("no holder panics")
    }

    fn children(&self) -> MutexGuard<'_, ChildClock> {
        self.children.lock().expect("no holder panics")
    }
}

/// Live calls by their unguessable context. Bounded by the guard's limit on calls in flight: an
/// entry is made when a call starts and goes when it ends.
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
        self.lock().insert(context, call);
        context
    }

    /// The call with this context, as the backend server sent it.
    pub(super) fn find(&self, context: &str) -> Option<Arc<LiveCall>> {
        let context = u128::from_str_radix(context, 16).ok()?;
        self.lock().get(&context).cloned()
    }

    /// Everything that runs at present.
    pub(super) fn running(&self) -> Vec<RunningRequest> {
        self.lock().values().map(|call| call.running()).collect()
    }

    /// Removes a call that has ended.
    pub(super) fn leave(&self, context: u128) {
        self.lock().remove(&context);
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<u128, Arc<LiveCall>>> {
        self.by_context.lock().expect("no holder panics")
    }
}
