//! The way into the local backend server: admission decides, calls wait here for its word.

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
use crate::wire::LoadReport;

/// The answer to a waiting call.
type Word = Result<Permit, Refusal>;

struct GateState {
    admission: Admission,
    /// Calls that wait, by ticket. Bounded by the queue of admission.
    waiting: FastMap<u64, WaitingCall>,
    next_ticket: u64,
    in_flight: u32,
}

/// Whom to tell, and the class for the metrics.
struct WaitingCall {
    class: u8,
    tell: oneshot::Sender<Word>,
}

/// Admission and the calls that wait for it.
pub(crate) struct Gate {
    metrics: Arc<Metrics>,
    state: Mutex<GateState>,
    clock: Clock,
    /// `false` lets everything in at once: the baseline of measurements.
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

    /// Waits until the call may run. Dropped while it waits, the call is certainly not run.
    ///
    /// # Errors
    /// The refusal, at once when admission decides so.
    pub(crate) async fn admit(self: &Arc<Self>, mut call: OfferedCall) -> Word {
        let (_waiting, word) = {
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
            let (tell, told) = oneshot::channel();
            let class = call.priority.class();
            state
                .waiting
                .insert(call.ticket, WaitingCall { class, tell });
            (Waiting::new(self.clone(), call.ticket), told)
        };
        self.poll();
        word.await
            .unwrap_or_else(|_| Err(Refusal::not_run(RefusalReason::Overloaded, 0)))
    }

    /// Lets admission look at the time: starts what there is room for, refuses what waited long.
    pub(crate) fn poll(self: &Arc<Self>) {
        let words = {
            let mut state = self.lock();
            let actions = state.admission.poll(self.clock.now());
            self.words(&mut state, actions)
        };
        // Told without the lock: a permit nobody takes any more comes back through it.
        for (tell, word) in words {
            drop(tell.send(word));
        }
    }

    /// Takes back the permit of a call that ended.
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

    /// Caps the limit by what the backend server announces or by what it hints at.
    pub(crate) fn set_slots(&self, slots: u32) {
        self.lock().admission.set_slots(slots);
    }

    /// Takes over how many calls a second the backend server says it takes. Answers how many calls it can run
    /// at once then; see [`Admission::usable_limit`].
    pub(crate) fn set_rate(&self, per_s: Option<f64>) -> u32 {
        let mut state = self.lock();
        state.admission.set_rate(self.clock.now(), per_s);
        state.admission.usable_limit()
    }

    /// Calls turned away for the rate of the backend server so far.
    pub(crate) fn turned_away(&self) -> u64 {
        self.lock().admission.rate_limited_calls()
    }

    /// Takes over how many classes the preset in force has.
    pub(crate) fn set_classes(&self, classes: usize) {
        self.lock().admission.set_classes(classes);
    }

    /// The lowest priority admitted at present.
    pub(crate) fn level(&self) -> Priority {
        self.lock().admission.level()
    }

    /// How hard calls press on the backend server; see [`Admission::pressure_permille`].
    pub(crate) fn pressure_permille(&self) -> u32 {
        self.lock().admission.pressure_permille()
    }

    /// In what time a call that arrives now may expect to be started.
    pub(crate) fn expected_wait_ms(&self) -> u64 {
        self.lock().admission.expected_wait_ms()
    }

    /// Says whether a service that the backend server calls is the bottleneck.
    pub(crate) fn set_downstream_overloaded(&self, is_pressed: bool) {
        self.lock().admission.set_downstream_overloaded(is_pressed);
    }

    /// First-hand figures.
    pub(crate) fn load(&self) -> LoadReport {
        let state = self.lock();
        let load = state.admission.load();
        LoadReport {
            in_flight: state.in_flight,
            ..load
        }
    }

    /// How many calls of each class wait.
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

    fn words(
        self: &Arc<Self>,
        state: &mut GateState,
        actions: Vec<Action>,
    ) -> Vec<(oneshot::Sender<Word>, Word)> {
        let mut words = Vec::with_capacity(actions.len());
        for action in actions {
            let (ticket, refusal) = match action {
                Action::Start(ticket) => (ticket, None),
                Action::Refuse(ticket, refusal) => (ticket, Some(refusal)),
            };
            let Some(WaitingCall { tell, .. }) = state.waiting.remove(&ticket) else {
                continue;
            };
            let word = refusal.map_or_else(|| Ok(self.permit(state, ticket)), Err);
            words.push((tell, word));
        }
        words
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().expect("no holder panics")
    }
}

/// A call that waits. When its caller goes away it is forgotten, so that it does not take the
/// place of one that is still wanted.
struct Waiting {
    gate: Arc<Gate>,
    ticket: u64,
}

impl Waiting {
    fn new(gate: Arc<Gate>, ticket: u64) -> Self {
        Self { gate, ticket }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.admission.cancel(self.ticket);
        }
    }
}
