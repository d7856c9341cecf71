//! Admission to the local backend server. Calls that cannot run at once wait here.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::oneshot;

use crate::admission::Action;
use crate::admission::Admission;
use crate::admission::AdmissionConf;
use crate::admission::Completion;
use crate::admission::OfferDecision;
use crate::admission::OfferedCall;
use crate::core::Clock;
use crate::core::FastMap;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::metrics::Metrics;
use crate::node::invariants::Invariant;
use crate::node::invariants::check;
use crate::node::permit::Permit;
use crate::placement::TargetFigures;
use crate::wire::LoadReport;

/// The result of admission for a waiting call.
type AdmitResult = Result<Permit, Refusal>;

struct GateState {
    admission: Admission,
    /// Waiting calls by ticket. Bounded by the queue of admission.
    waiting: FastMap<u64, WaitingCall>,
    next_ticket: u64,
    in_flight: u32,
}

/// The channel to resolve a waiting call, and its class for the metrics.
struct WaitingCall {
    class: u8,
    sender: oneshot::Sender<AdmitResult>,
}

/// Admission together with the calls that wait for it.
pub(crate) struct Gate {
    metrics: Arc<Metrics>,
    state: Mutex<GateState>,
    clock: Clock,
    /// `false` admits all calls at once, for the measured baseline.
    enabled: bool,
}

impl Gate {
    pub(crate) fn new(
        clock: Clock,
        metrics: Arc<Metrics>,
        enabled: bool,
        conf: AdmissionConf,
    ) -> Arc<Self> {
        let admission = Admission::new(conf, fastrand::u64(..));
        let state = GateState {
            admission,
            waiting: FastMap::default(),
            next_ticket: 0,
            in_flight: 0,
        };
        Arc::new(Self {
            metrics,
            state: Mutex::new(state),
            clock,
            enabled,
        })
    }

    /// Waits until the call may run. If the future is dropped while it waits, the call is certainly
    /// not run.
    ///
    /// # Errors
    /// The refusal, either immediately or after waiting.
    pub(crate) async fn admit(self: &Arc<Self>, mut call: OfferedCall) -> AdmitResult {
        let (_cancel, result) = {
            let mut state = self.lock();
            state.next_ticket += 1;
            call.ticket = state.next_ticket;
            if !self.enabled {
                return Ok(self.permit(&mut state, call.ticket));
            }
            match state.admission.offer(self.clock.now(), call) {
                OfferDecision::Run => return Ok(self.permit(&mut state, call.ticket)),
                OfferDecision::Refuse(refusal) => return Err(refusal),
                OfferDecision::Wait => {}
            }
            let (sender, receiver) = oneshot::channel();
            let class = call.priority.class();
            state
                .waiting
                .insert(call.ticket, WaitingCall { class, sender });
            (CancelOnDrop::new(self.clone(), call.ticket), receiver)
        };
        self.poll();
        result
            .await
            .unwrap_or_else(|_| Err(Refusal::not_run(RefusalReason::Overloaded, 0)))
    }

    /// Advances admission to the current time: starts calls that fit and refuses those that waited
    /// too long.
    pub(crate) fn poll(self: &Arc<Self>) {
        let results = {
            let mut state = self.lock();
            let actions = state.admission.poll(self.clock.now());
            self.resolve(&mut state, actions)
        };
        // The results are sent after the lock is released, since a permit whose receiver is gone is
        // dropped here, and its drop acquires the lock.
        for (sender, result) in results {
            drop(sender.send(result));
        }
    }

    /// Returns the permit of a call that ended.
    pub(crate) fn complete(self: &Arc<Self>, ticket: u64, completion: Completion) {
        {
            let mut state = self.lock();
            state.in_flight = state.in_flight.saturating_sub(1);
            state
                .admission
                .complete(self.clock.now(), ticket, completion);
        }
        self.poll();
    }

    /// Caps the limit by the number of slots that the backend server offers.
    pub(crate) fn set_slots(&self, slots: u32) {
        self.lock().admission.set_slots(slots);
    }

    /// Sets the rate limit that the backend server advertises, in calls per second. Returns how
    /// many calls it can run concurrently then; see [`Admission::usable_limit`].
    pub(crate) fn set_rate(&self, per_s: Option<f64>) -> u32 {
        let mut state = self.lock();
        state.admission.set_rate(self.clock.now(), per_s);
        state.admission.usable_limit()
    }

    /// The number of calls refused so far because of the backend server's rate limit.
    pub(crate) fn rate_limited_calls(&self) -> u64 {
        self.lock().admission.rate_limited_calls()
    }

    /// Sets the number of classes of the preset in force.
    pub(crate) fn set_classes(&self, classes: usize) {
        self.lock().admission.set_classes(classes);
    }

    /// The lowest priority admitted at present.
    pub(crate) fn level(&self) -> Priority {
        self.lock().admission.level()
    }

    /// The pressure of calls on the backend server; see [`Admission::pressure_permille`].
    pub(crate) fn pressure_permille(&self) -> u32 {
        self.lock().admission.pressure_permille()
    }

    /// The expected wait of a call that arrives now, in milliseconds.
    pub(crate) fn expected_wait_ms(&self) -> u64 {
        self.lock().admission.expected_wait_ms()
    }

    /// Sets whether a downstream service is the bottleneck.
    pub(crate) fn set_downstream_overloaded(&self, is_overloaded: bool) {
        self.lock()
            .admission
            .set_downstream_overloaded(is_overloaded);
    }

    /// The current load, as measured by this node.
    pub(crate) fn load(&self) -> LoadReport {
        let state = self.lock();
        let load = state.admission.load();
        LoadReport {
            in_flight: state.in_flight,
            ..load
        }
    }

    /// The backend server's figures for the exchange of loads.
    pub(crate) fn target_figures(&self) -> TargetFigures {
        let state = self.lock();
        let admission = &state.admission;
        let run_us = admission.mean_run_us();
        TargetFigures {
            limit: admission.capacity_limit(),
            // A run time of 0 would mean that none is known.
            run_us: run_us.map_or(0, |run_us| u32::try_from(run_us).unwrap_or(u32::MAX).max(1)),
            pressure_permille: admission.pressure_permille(),
        }
    }

    /// The number of waiting calls by class.
    pub(crate) fn queued_by_class(&self) -> BTreeMap<u8, i64> {
        let mut queued = BTreeMap::new();
        for waiting in self.lock().waiting.values() {
            *queued.entry(waiting.class).or_default() += 1;
        }
        queued
    }

    fn permit(self: &Arc<Self>, state: &mut GateState, ticket: u64) -> Permit {
        state.in_flight += 1;
        if self.enabled {
            let limit = state.admission.limit();
            let is_within = state.in_flight <= limit;
            check(&self.metrics, Invariant::InFlightWithinLimit, is_within);
        }
        Permit::new(self.clone(), ticket, self.clock.now_us())
    }

    fn resolve(
        self: &Arc<Self>,
        state: &mut GateState,
        actions: Vec<Action>,
    ) -> Vec<(oneshot::Sender<AdmitResult>, AdmitResult)> {
        let mut results = Vec::with_capacity(actions.len());
        for action in actions {
            let (ticket, refusal) = match action {
                Action::Start(ticket) => (ticket, None),
                Action::Refuse(ticket, refusal) => (ticket, Some(refusal)),
            };
            let Some(WaitingCall { sender, .. }) = state.waiting.remove(&ticket) else {
                continue;
            };
            let result = refusal.map_or_else(|| Ok(self.permit(state, ticket)), Err);
            results.push((sender, result));
        }
        results
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().expect("no holder panics")
    }
}

/// Removes a waiting call when its caller disconnects, so that it does not take the place of a call
/// whose caller still waits.
struct CancelOnDrop {
    gate: Arc<Gate>,
    ticket: u64,
}

impl CancelOnDrop {
    fn new(gate: Arc<Gate>, ticket: u64) -> Self {
        Self { gate, ticket }
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.admission.cancel(self.ticket);
        }
    }
}
