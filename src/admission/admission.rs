//! Admission control at the guard for calls to the local backend server.

use fastrand::Rng;

use crate::admission::Action;
use crate::admission::AdmissionConf;
use crate::admission::CallOutcome;
use crate::admission::Completion;
use crate::admission::OfferDecision;
use crate::admission::OfferedCall;
use crate::admission::TokenBucket;
use crate::admission::arrival_ratio::ArrivalRatio;
use crate::admission::call_queue::CallQueue;
use crate::admission::call_queue::WaitingCall;
use crate::admission::concurrency_limit::ConcurrencyLimit;
use crate::admission::drain_rate::DrainRate;
use crate::admission::latency_limit::LatencyLimit;
use crate::admission::level_control::LevelControl;
use crate::admission::mean_run_time::MeanRunTime;
use crate::admission::service_time::ServiceTime;
use crate::core::FastMap;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::TimeMs;
use crate::wire::LoadReport;

/// Bounds of the Retry-After time of a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;
const MAX_RETRY_AFTER_MS: u64 = 5_000;

/// A trial of a lower limit is abandoned when a call has waited for this long while less important
/// calls wait as well. A trial may delay only the least important calls.
const MAX_WAIT_DURING_TRIAL_MS: u64 = 50;

/// A queueing time of this many milliseconds adds as much pressure as a full limit. A call several
/// levels deep waits this long more than once and is still in time.
const FULL_WAIT_MS: u64 = 500;
/// More calls arrive than can run when the queue is longer than the usable limit divided by this. A
/// shorter queue can be a chance burst.
const PERSISTENT_QUEUE_PART: u64 = 4;
/// The highest pressure reported. A higher value adds no information and takes longer to decay.
const MAX_PRESSURE_PERMILLE: u32 = 4_000;
/// Weight of one call in the smoothed run time: one part in this.
const RUN_WEIGHT: u64 = 16;
/// As many calls may wait for the advertised rate as it admits in this time, in milliseconds.
/// Further calls are refused at once, because another target may be able to run them.
const RATE_QUEUE_MS: f64 = 200.0;

/// The calls that run at the local backend server and the calls that wait for it.
///
/// Every ticket gets exactly one decision, unless it is cancelled while it waits. It runs
/// ([`OfferDecision::Run`] or [`Action::Start`]) or it is refused. The number of running calls
/// never exceeds the limit at the time a call starts.
#[derive(Clone, Debug)]
pub struct Admission {
    conf: AdmissionConf,
    limit: ConcurrencyLimit,
    latency_limit: LatencyLimit,
    queue: CallQueue,
    /// Running calls by ticket. Bounded by the limit.
    running: FastMap<u64, Priority>,
    /// Refusals of calls evicted from the queue, returned by the next poll.
    evicted: Vec<Action>,
    service_time: ServiceTime,
    drain_rate: DrainRate,
    arrival_ratio: ArrivalRatio,
    /// Smoothed run time over all classes, in microseconds.
    run_us: u64,
    mean_run_time: MeanRunTime,
    level: LevelControl,
    /// The request rate that the backend server advertises, if it advertises one.
    rate: Option<TokenBucket>,
    /// Calls refused because of that rate.
    rate_limited: u64,
    random: Rng,
}

impl Admission {
    /// Creates the admission control of a backend server of which nothing is known. `seed` feeds
    /// only the jitter of Retry-After.
    pub fn new(conf: AdmissionConf, seed: u64) -> Self {
        Self {
            limit: ConcurrencyLimit::new(&conf),
            latency_limit: LatencyLimit::new(),
            queue: CallQueue::default(),
            running: FastMap::default(),
            evicted: Vec::new(),
            service_time: ServiceTime::default(),
            drain_rate: DrainRate::default(),
            arrival_ratio: ArrivalRatio::default(),
            run_us: 0,
            mean_run_time: MeanRunTime::default(),
            level: LevelControl::new(&conf),
            rate: None,
            rate_limited: 0,
            random: Rng::with_seed(seed),
            conf,
        }
    }

    /// Decides about a call that has just arrived. If the call has to wait, [`Self::poll`] must be
    /// called at once, because a less important call may have been evicted for it.
    pub fn offer(&mut self, now: TimeMs, call: OfferedCall) -> OfferDecision {
        self.level.record_offer(call.priority);
        self.arrival_ratio.record_arrival(now);
        self.latency_limit.record_objective(call.due.since(now));
        self.refill(now);
        if !self.deadline_can_be_met(&call, now) {
            return OfferDecision::Refuse(self.refusal(RefusalReason::DeadlineExceeded, now));
        }
        let is_first = self.queue.would_be_first(&call);
        if self.has_room() && is_first {
            self.start(call.ticket, call.priority, true);
            return OfferDecision::Run;
        }
        if self.is_limited_by_rate() {
            let ahead = if is_first { 0 } else { self.queue.len() };
            if !self.gets_token_in_time(&call, ahead, now) {
                return OfferDecision::Refuse(self.rate_limit_refusal());
            }
        } else {
            self.limit.record_full();
            self.latency_limit.record_full();
        }
        if self.queue.len() >= self.queue_bound() {
            if !self.queue.outranks_last(&call) {
                return OfferDecision::Refuse(self.queue_full_refusal(now));
            }
            self.evict_last(now);
        }
        self.queue.push(call, now);
        OfferDecision::Wait
    }

    /// Records the end of a call that ran. [`Self::poll`] must be called after it. An unknown
    /// ticket is ignored.
    pub fn complete(&mut self, now: TimeMs, ticket: u64, completion: Completion) {
        let Some(priority) = self.running.remove(&ticket) else {
            return;
        };
        self.drain_rate.record(now);
        self.arrival_ratio.record_completion(now);
        self.limit.record(&completion, now);
        if completion.outcome == CallOutcome::Ok {
            let cap = self.limit.get();
            self.latency_limit
                .record_end(now, completion.service_us, cap);
            self.run_us = (self.run_us * (RUN_WEIGHT - 1) + completion.service_us) / RUN_WEIGHT;
            self.mean_run_time.record(now, completion.service_us);
            self.service_time
                .record(priority.class(), completion.service_us, now);
        }
    }

    /// Removes a waiting call whose caller has gone. Returns whether it was waiting. If so, it was
    /// not run and never will be. A running call has to be completed instead.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Starts the calls for which there is room and refuses those that waited too long. Must be
    /// called after each offer that waits, after each completion, and every few milliseconds.
    pub fn poll(&mut self, now: TimeMs) -> Vec<Action> {
        self.refill(now);
        self.evict_excess_for_rate(now);
        let mut actions = std::mem::take(&mut self.evicted);
        while let Some(waiting) = self.queue.pop_expired(now) {
            actions.push(self.expire(&waiting, now));
        }
        if self
            .queue
            .inversion_since()
            .is_some_and(|since| now.since(since) >= MAX_WAIT_DURING_TRIAL_MS)
        {
            self.limit.abandon_trial();
        }
        while self.has_room() {
            let Some(waiting) = self.queue.pop_first() else {
                break;
            };
            actions.push(self.start_or_expire(&waiting, now));
        }
        if self.has_room() {
            self.limit.record_room();
        }
        let min_queued = self.level.min_queued();
        let queued = self.queue.count_admitted(self.level.level(), min_queued);
        self.level.record_queue(now, queued);
        actions
    }

    /// The lowest priority admitted at present, which is piggybacked on answers.
    pub fn level(&self) -> Priority {
        self.level.level()
    }

    /// The guard's own load figures, which are piggybacked on answers.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u32,
            limit: self.usable_limit(),
            queued: self.queue.len() as u32,
        }
    }

    /// The pressure on the backend server in thousandths: utilization plus queueing time.
    ///
    /// Utilization is the share of the limit in use, or of the token bucket if that is more. While
    /// the queue is longer than a chance burst, it is multiplied by the ratio of arrivals to
    /// completions. The queueing time counts as a whole limit at [`FULL_WAIT_MS`].
    ///
    /// The ratio shows the size of an overload at once. The queue length alone shows it late and
    /// still shows it long after the arrivals have dropped.
    ///
    /// The queueing time is computed from the run time and the limit, not from recent completions.
    /// Just after a start or a stall there are no completions, and the pressure would look
    /// infinite.
    pub fn pressure_permille(&self) -> u32 {
        let limit = u64::from(self.limit().max(1));
        let wait_us = self.wait_us();
        let mut utilization = self.running.len() as u64 * 1_000 / limit;
        utilization = utilization.max(self.rate.map_or(0, |rate| rate.taken_permille()));
        if self.queue.len() as u64 > u64::from(self.usable_limit()) / PERSISTENT_QUEUE_PART {
            utilization = (utilization as f32 * self.arrival_ratio.ratio()) as u64;
        }
        let queueing = wait_us / FULL_WAIT_MS;
        u32::try_from(utilization + queueing).map_or(MAX_PRESSURE_PERMILLE, |permille| {
            permille.min(MAX_PRESSURE_PERMILLE)
        })
    }

    /// Caps the limit by the slots that the backend server announces. A limit learnt from completed
    /// calls can only be lowered by it.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit.set_cap(slots.min(self.conf.max_limit));
    }

    /// Sets the advertised rate of the backend server in calls per second. `None` means no rate
    /// limit.
    pub fn set_rate(&mut self, now: TimeMs, per_s: Option<f64>) {
        match (&mut self.rate, per_s) {
            (Some(rate), Some(per_s)) => rate.set_per_s(per_s, now),
            (rate, per_s) => *rate = per_s.map(|per_s| TokenBucket::new(per_s, now)),
        }
    }

    /// The number of calls refused so far because of the advertised rate.
    pub fn rate_limited_calls(&self) -> u64 {
        self.rate_limited
    }

    /// Sets the number of classes of the preset in force.
    pub fn set_classes(&mut self, classes: usize) {
        self.level.set_classes(classes);
    }

    /// The expected queueing time of a call that arrives now.
    pub fn expected_wait_ms(&self) -> u64 {
        self.wait_us() / 1_000
    }

    /// Sets whether a service that the backend server calls is the bottleneck; see
    /// [`LatencyLimit`].
    pub fn set_downstream_overloaded(&mut self, is_overloaded: bool) {
        self.latency_limit.set_downstream_overloaded(is_overloaded);
    }

    fn wait_us(&self) -> u64 {
        let waiting = self.queue.len();
        let for_slots = waiting as u64 * self.run_us / u64::from(self.limit().max(1));
        let for_tokens = self.rate.map_or(0, |rate| rate.wait_ms(waiting) * 1_000);
        for_slots.max(for_tokens)
    }

    /// The number of calls that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit.get().min(self.latency_limit.get())
    }

    /// The number of calls that run at once at full load: the limit, or the advertised rate
    /// multiplied by the run time if that is less.
    pub fn usable_limit(&self) -> u32 {
        let limit = self.limit();
        let Some(rate) = &self.rate else {
            return limit;
        };
        let by_rate = rate.per_s() * self.run_us as f64 / 1_000_000.0;
        limit.min(by_rate.ceil() as u32).max(1)
    }

    /// The number of calls that the backend server itself can run at once: its announced slots as
    /// limited by the operator, or the advertised rate multiplied by the run time if that is less.
    /// Limits that respond to load are left out, because they say nothing of its capacity.
    pub fn capacity_limit(&self) -> u32 {
        let cap = self.limit.cap();
        match (&self.rate, self.mean_run_us()) {
            (Some(rate), Some(run_us)) => {
                let by_rate = rate.per_s() * run_us as f64 / 1_000_000.0;
                cap.min(by_rate.ceil() as u32).max(1)
            }
            _ => cap,
        }
    }

    /// The mean run time of a call over about the last second in which calls ended, in
    /// microseconds; `None` before the first one.
    pub fn mean_run_us(&self) -> Option<u64> {
        self.mean_run_time.mean_us()
    }

    fn has_room(&self) -> bool {
        self.has_slot() && self.rate.is_none_or(|rate| rate.has_token())
    }

    fn has_slot(&self) -> bool {
        self.running.len() < self.limit() as usize
    }

    /// Whether calls wait for the advertised rate and not for slots.
    fn is_limited_by_rate(&self) -> bool {
        self.rate.is_some() && self.has_slot()
    }

    fn refill(&mut self, now: TimeMs) {
        if let Some(rate) = &mut self.rate {
            rate.refill(now);
        }
    }

    fn gets_token_in_time(&self, call: &OfferedCall, ahead: usize, now: TimeMs) -> bool {
        let wait_ms = self.rate.map_or(0, |rate| rate.wait_ms(ahead + 1));
        let waiting_ends = now + wait_ms;
        wait_ms < u64::from(call.wait_ms) && self.deadline_can_be_met(call, waiting_ends)
    }

    fn queue_bound(&self) -> usize {
        let by_limit = self.limit.get() * self.conf.queue_percent / 100;
        let by_slots = self.conf.min_queue.max(by_limit as usize);
        let Some(rate) = &self.rate else {
            return by_slots;
        };
        let by_rate = rate.per_s() * RATE_QUEUE_MS / 1_000.0;
        by_slots.min(by_rate as usize)
    }

    fn deadline_can_be_met(&self, call: &OfferedCall, now: TimeMs) -> bool {
        let needed_ms = self.service_time.at_least_ms(call.priority.class(), now);
        now + needed_ms < call.deadline
    }

    fn start(&mut self, ticket: u64, priority: Priority, at_once: bool) {
        self.running.insert(ticket, priority);
        if let Some(rate) = &mut self.rate {
            rate.take();
        }
        self.level.record_start(at_once);
        debug_assert!(self.running.len() <= self.limit() as usize);
    }

    fn start_or_expire(&mut self, waiting: &WaitingCall, now: TimeMs) -> Action {
        if !self.deadline_can_be_met(&waiting.call, now) {
            return self.expire(waiting, now);
        }
        let call = &waiting.call;
        self.start(call.ticket, call.priority, false);
        Action::Start(call.ticket)
    }

    fn expire(&mut self, waiting: &WaitingCall, now: TimeMs) -> Action {
        let reason = if self.deadline_can_be_met(&waiting.call, now) {
            RefusalReason::WaitExceeded
        } else {
            RefusalReason::DeadlineExceeded
        };
        Action::Refuse(waiting.call.ticket, self.refusal(reason, now))
    }

    /// Evicts calls that were queued for slots before a rate was advertised, and would now wait too
    /// long for tokens.
    fn evict_excess_for_rate(&mut self, now: TimeMs) {
        while self.rate.is_some() && self.queue.len() > self.queue_bound() {
            self.evict_last(now);
        }
    }

    fn evict_last(&mut self, now: TimeMs) {
        let Some(waiting) = self.queue.pop_last() else {
            return;
        };
        let refusal = self.queue_full_refusal(now);
        let action = Action::Refuse(waiting.call.ticket, refusal);
        self.evicted.push(action);
    }

    /// The refusal of a call for which the queue has no room.
    fn queue_full_refusal(&mut self, now: TimeMs) -> Refusal {
        if self.is_limited_by_rate() {
            self.rate_limit_refusal()
        } else {
            self.refusal(RefusalReason::Overloaded, now)
        }
    }

    /// A refusal whose Retry-After is the time that the rate needs to admit the calls that wait
    /// now, plus a jitter of up to half. Without the jitter, calls refused together would be
    /// retried together.
    fn rate_limit_refusal(&mut self) -> Refusal {
        self.rate_limited += 1;
        let ahead = self.queue.len() + 1;
        let room_ms = self.rate.map_or(0, |rate| rate.wait_ms(ahead));
        let wait_ms = room_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let jittered_ms = self.random.u64(wait_ms..=wait_ms + wait_ms / 2);
        Refusal::not_run(RefusalReason::RateLimited, jittered_ms)
    }

    /// A refusal whose Retry-After is the time in which the queue drains, with a jitter of up to
    /// half of it in either direction. Without the jitter, calls refused together would be retried
    /// together.
    fn refusal(&mut self, reason: RefusalReason, now: TimeMs) -> Refusal {
        let ahead = self.queue.len() as u64 + 1;
        let drained_ms = self.drain_rate.time_for_ms(ahead, now);
        let wait_ms = drained_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let jittered_ms = self.random.u64(wait_ms / 2..=wait_ms + wait_ms / 2);
        Refusal::not_run(reason, jittered_ms)
    }
}
