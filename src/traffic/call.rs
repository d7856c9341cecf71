//! A call in progress: as classified by the entry, and as run by the guard.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::uri::PathAndQuery;

use crate::adapters::Transmission;
use crate::core::Name;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RouteOrigin;
use crate::core::RunState;
use crate::core::TimeMs;
use crate::desired::Repeatability;
use crate::poison::RunningRequest;
use crate::wire::CallAccount;
use crate::wire::HopCall;

/// The part of the request that is forwarded unchanged.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub method: Method,
    pub path_and_query: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A call that the entry has read and classified.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub message: Message,
    pub service: Name,
    /// The service of this node's backend server when the request began.
    pub caller_service: Name,
    /// The name of its route.
    pub route: Name,
    pub repeatability: Repeatability,
    /// The maximum number of backend servers that it may be sent to.
    pub max_attempts: u32,
    pub priority: Priority,
    /// Whether a caller or a backend server sent it; `None` while its route's origin is unknown.
    pub origin: Option<RouteOrigin>,
    /// `origin` was derived from the call itself, not from what is known of its route.
    pub is_certain_origin: bool,
    /// The client account whose request it is.
    pub account: Option<CallAccount>,
    /// The latency objective of its route.
    pub objective_ms: u32,
    /// The probability that the request that makes this call is a retry, in thousandths.
    pub repeated_permille: u16,
    pub deadline: TimeMs,
}

/// A call that has reached its target's guard.
#[derive(Clone, Debug)]
pub(super) struct GuardedCall {
    pub message: Message,
    /// Identifies the call as a suspect if the backend server crashes.
    pub suspect: RunningRequest,
    pub hop: HopCall,
    pub deadline: TimeMs,
    /// Until when it may wait for admission. The entry's node may stop before the deadline.
    pub admission_deadline: TimeMs,
}

/// Whether a call may have started to run. Read when the call is abandoned.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The sending of the current attempt; `None` while it waits for admission at this node.
    transmission: Mutex<Option<Arc<Transmission>>>,
    /// An earlier attempt may have run.
    may_have_run: AtomicBool,
    /// An earlier attempt sent the call to a backend server.
    reached_backend: AtomicBool,
    trace: Mutex<Trace>,
}

/// The attempts so far, for the log.
#[derive(Clone, Debug, Default)]
pub(super) struct Trace {
    pub attempts: u32,
    /// The node of the most recent target.
    pub target: Option<Name>,
}

impl Progress {
    /// Records the start of an attempt.
    pub(super) fn start_attempt(&self, target: &Name) {
        let mut trace = self.trace.lock().unwrap_or_else(PoisonError::into_inner);
        trace.attempts += 1;
        trace.target = Some(target.clone());
    }

    /// Returns the attempts so far.
    pub(super) fn trace(&self) -> Trace {
        let trace = self.trace.lock().unwrap_or_else(PoisonError::into_inner);
        trace.clone()
    }

    /// Starts the sending of the current attempt to a guard, or to the local backend server.
    pub(super) fn start_sending(&self) -> Arc<Transmission> {
        let transmission = Arc::<Transmission>::default();
        *self.transmission() = Some(transmission.clone());
        transmission
    }

    /// Cancels the current attempt if no byte of it was sent. Returns whether that is so. The
    /// attempt's future must not be polled again then.
    pub(super) fn cancel_unsent(&self) -> bool {
        let transmission = self.transmission();
        transmission
            .as_ref()
            .is_none_or(|transmission| transmission.cancel_unsent())
    }

    /// Records the end of an attempt that got no answer.
    pub(super) fn end_attempt(&self, run_state: RunState) {
        *self.transmission() = None;
        if run_state != RunState::NotRun {
            self.may_have_run.store(true, Ordering::Relaxed);
        }
    }

    /// Records that an attempt that has ended sent the call to a backend server.
    pub(super) fn mark_reached_backend(&self) {
        self.reached_backend.store(true, Ordering::Relaxed);
    }

    /// Whether an earlier attempt reached a backend server, which makes the next one a retry.
    pub(super) fn has_reached_backend(&self) -> bool {
        self.reached_backend.load(Ordering::Relaxed)
    }

    /// Whether an attempt that has ended may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    /// Returns the refusal of the whole call, given that of its last attempt.
    ///
    /// The last attempt may be refused as `not_run` although an earlier one was lost and may have
    /// run. The run state of the whole call is then `unknown`.
    pub(super) fn with_earlier_attempts(&self, mut refusal: Refusal) -> Refusal {
        if refusal.run_state == RunState::NotRun && self.may_have_run() {
            refusal.run_state = RunState::Unknown;
        }
        refusal
    }

    fn transmission(&self) -> MutexGuard<'_, Option<Arc<Transmission>>> {
        self.transmission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
