//! A call on its way: as the entry took it, and as the guard runs it.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::uri::PathAndQuery;

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

/// What is passed on unchanged.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub method: Method,
    pub path_and_query: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A call that the entry has taken and classified.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub message: Message,
    pub service: Name,
    /// The name of its route.
    pub route: Name,
    pub repeatability: Repeatability,
    /// To how many backend servers it may be sent at most.
    pub max_attempts: u32,
    pub priority: Priority,
    /// Whether it is a caller's own; `None` while it is not known who uses its route.
    pub origin: Option<RouteOrigin>,
    /// What `origin` says was told by the call itself, not learnt of its route.
    pub is_certain_origin: bool,
    /// The client account whose request it is.
    pub account: Option<CallAccount>,
    /// The time within which an answer is worth most.
    pub objective_ms: u32,
    /// How likely the work that makes the call is to be a repeat, in thousandths.
    pub repeated_permille: u16,
    pub deadline: TimeMs,
}

/// A call that has reached the guard beside its target.
#[derive(Clone, Debug)]
pub(super) struct GuardedCall {
    pub message: Message,
    /// What is held against it should the backend server crash.
    pub suspect: RunningRequest,
    pub hop: HopCall,
    pub deadline: TimeMs,
}

/// Whether a call may have begun to run, for whoever gives it up.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The attempt under way may run.
    may_run: AtomicBool,
    /// An attempt that has ended may have run.
    may_have_run: AtomicBool,
    /// A backend server was sent the call in an attempt that has ended.
    reached_backend: AtomicBool,
    trace: Mutex<Trace>,
}

/// What was tried so far, for the log.
#[derive(Clone, Debug, Default)]
pub(super) struct Trace {
    pub attempts: u32,
    /// The node beside the target that was tried last.
    pub target: Option<Name>,
}

impl Progress {
    /// An attempt begins.
    pub(super) fn begins(&self, target: &Name) {
        let mut trace = self.trace.lock().unwrap_or_else(PoisonError::into_inner);
        trace.attempts += 1;
        trace.target = Some(target.clone());
    }

    /// What was tried so far.
    pub(super) fn trace(&self) -> Trace {
        let trace = self.trace.lock().unwrap_or_else(PoisonError::into_inner);
        trace.clone()
    }

    /// From now on it may run.
    pub(super) fn sent(&self) {
        self.may_run.store(true, Ordering::Relaxed);
    }

    /// An attempt has ended without an answer.
    pub(super) fn ended(&self, run_state: RunState) {
        self.may_run.store(false, Ordering::Relaxed);
        if run_state != RunState::NotRun {
            self.may_have_run.store(true, Ordering::Relaxed);
        }
    }

    /// An attempt that has ended had sent the call to a backend server.
    pub(super) fn note_reached_backend(&self) {
        self.reached_backend.store(true, Ordering::Relaxed);
    }

    /// Whether the next attempt is a repeat.
    pub(super) fn has_reached_backend(&self) -> bool {
        self.reached_backend.load(Ordering::Relaxed)
    }

    /// Whether any attempt runs or may have run.
    pub(super) fn is_in_doubt(&self) -> bool {
        self.may_run.load(Ordering::Relaxed) || self.may_have_run.load(Ordering::Relaxed)
    }

    /// What to say of the whole call when its last attempt was refused.
    ///
    /// Guards against a refusal that says `not_run` for a call of which an earlier attempt was lost
    /// and may have run.
    pub(super) fn of_all_attempts(&self, mut refusal: Refusal) -> Refusal {
        if refusal.run_state == RunState::NotRun && self.may_have_run.load(Ordering::Relaxed) {
            refusal.run_state = RunState::Unknown;
        }
        refusal
    }
}
