//! Calls that run at the local backend server, looked up when it makes child calls.

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

/// A call that runs at the local backend server, with the data that its child calls inherit. An
/// entry also creates one for each root call, to hold its allotment.
pub(super) struct LiveCall {
    pub(super) request: RequestId,
    pub(super) priority: Priority,
    pub(super) depth: u8,
    pub(super) deadline: TimeMs,
    /// The route, for which the admission levels of services are kept.
    pub(super) route: Name,
    /// The hash of the content, which identifies a request that crashes backend servers.
    pub(super) fingerprint: u64,
    allotment: Mutex<Allotment>,
    children: Mutex<ChildClock>,
    /// Set for a call that the ledger admitted, which runs only once.
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

    /// Whether this is the first time that the child call's key is sent.
    pub(super) fn is_first_sending(&self, service: &Name, key: &Name) -> bool {
        let keys = self.keys.as_ref();
        keys.is_some_and(|keys| keys.is_first_sending(service, key))
    }

    /// The entry of this call in a crash report.
    pub(super) fn running_request(&self) -> RunningRequest {
        RunningRequest {
            request: self.request,
            fingerprint: self.fingerprint,
        }
    }

    /// Takes a share for a child call from the allotment.
    pub(super) fn hand_out(&self) -> u16 {
        self.allotment().hand_out()
    }

    /// Returns the unused part of a child's share.
    pub(super) fn take_back(&self, share: u16, unused: u16) {
        self.allotment().take_back(share, unused);
    }

    /// Takes a retry from the allotment. Returns false if it is used up.
    pub(super) fn spend(&self) -> bool {
        self.allotment().spend()
    }

    /// The allotment that can still be spent or handed out.
    pub(super) fn allotment_left(&self) -> u16 {
        self.allotment().left()
    }

    /// Takes the remaining allotment when the answer is sent. What a child returns later counts as
    /// used.
    pub(super) fn close_allotment(&self) -> u16 {
        let mut allotment = self.allotment();
        let left = allotment.left();
        *allotment = Allotment::new(0);
        left
    }

    /// Records the start of a child call.
    pub(super) fn child_started(&self, now_us: u64) {
        self.children().begin(now_us);
    }

    /// Records the end of a child call.
    pub(super) fn child_ended(&self, now_us: u64) {
        self.children().end(now_us);
    }

    /// Whether the backend server made any child call for this call.
    pub(super) fn has_made_calls(&self) -> bool {
        self.children().has_begun()
    }

    /// For how long child calls were outstanding so far, in microseconds.
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

/// Live calls by their context, which cannot be guessed. Bounded by the guard's limit on calls in
/// flight, since an entry exists from the start to the end of a call.
pub(super) struct LiveCalls {
    by_context: Mutex<FastMap<u128, Arc<LiveCall>>>,
}

impl LiveCalls {
    pub(super) fn new() -> Self {
        Self {
            by_context: Mutex::new(FastMap::default()),
        }
    }

    /// Adds a call and returns the context for the backend server.
    pub(super) fn register(&self, call: Arc<LiveCall>) -> u128 {
        let context = fastrand::u128(..);
        self.lock().insert(context, call);
        context
    }

    /// Finds the call with a context as sent by the backend server.
    pub(super) fn find(&self, context: &str) -> Option<Arc<LiveCall>> {
        let context = u128::from_str_radix(context, 16).ok()?;
        self.lock().get(&context).cloned()
    }

    /// All running calls.
    pub(super) fn running(&self) -> Vec<RunningRequest> {
        self.lock()
            .values()
            .map(|call| call.running_request())
            .collect()
    }

    /// Removes a call that has ended.
    pub(super) fn unregister(&self, context: u128) {
        self.lock().remove(&context);
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<u128, Arc<LiveCall>>> {
        self.by_context.lock().expect("no holder panics")
    }
}
