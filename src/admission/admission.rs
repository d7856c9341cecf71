//! The guard's decision about each call to the local backend server.

use fastrand::Rng;

use crate::admission::Action;
use crate::admission::AdmissionConf;
use crate::admission::Completion;
use crate::admission::Offer;
use crate::admission::QueuedCall;
use crate::admission::TokenBucket;
use crate::admission::CallOutcome;
use crate::admission::call_queue::CallQueue;
use crate::admission::call_queue::Waiting;
use crate::admission::drain_rate::DrainRate;
use crate::admission::flow::Flow;
use crate::admission::latency_limit::LatencyLimit;
use crate::admission::level_control::LevelControl;
use crate::admission::limit::Limit;
use crate::admission::service_time::ServiceTime;
use crate::core::FastMap;
use crate::core::Priority;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::TimeMs;
use crate::wire::LoadReport;

/// Shortest and longest time after which a refused caller is told to come back.
const LEAST_RETRY_AFTER_MS: u64 = 50;
const MOST_RETRY_AFTER_MS: u64 = 5_000;

/// A trial of the limit is abandoned when a call waits for this long while less important ones wait
/// as well: trials are to be paid for by the least important work alone.
const TRIAL_WAIT_MS: u64 = 50;

/// A wait in the queue that counts as much as a full limit, in milliseconds. A call some levels deep
/// waits there several times, and still is in time.
const FULL_WAIT_MS: u64 = 500;
/// A queue of more than one in this of the limit is no accident: what arrives is too much.
const STANDING_PART: u64 = 4;
/// The highest pressure that is told. More says nothing more, and would take longer to forget.
const MOST_PRESSURE_PERMILLE: u32 = 4_000;
/// The weight of one call in how long calls run is one in this.
const RUN_WEIGHT: u64 = 16;
/// As many calls may wait for the rate of the backend server as it lets through in this time, in milliseconds.
/// Others are turned away at once, for another target may take them.
const RATE_QUEUE_MS: f64 = 200.0;

/// What runs at the local backend server and what waits for it.
///
/// Every ticket gets exactly one decision: it runs ([`Offer::Run`] or [`Action::Start`]) or it is
/// refused. What runs never exceeds the limit at the time of its start.
#[derive(Clone, Debug)]
pub struct Admission {
    conf: AdmissionConf,
    limit: Limit,
    latency_limit: LatencyLimit,
    queue: CallQueue,
    /// Calls that run, by ticket. Bounded by the limit.
    running: FastMap<u64, Priority>,
    /// Calls that a more important one displaced, until the next poll.
    displaced: Vec<Action>,
    service_time: ServiceTime,
    drain_rate: DrainRate,
    flow: Flow,
    /// How long a call runs, smoothed over all classes, in microseconds.
    run_us: u64,
    level: LevelControl,
    /// Calls a second that the backend server says it takes, if it says so.
    rate: Option<TokenBucket>,
    /// Calls turned away for it.
    beyond_rate: u64,
    random: Rng,
}

impl Admission {
    /// Admission for a backend server of which nothing is known. `seed` feeds the jitter of
    /// Retry-After only.
    pub fn new(conf: AdmissionConf, seed: u64) -> Self {
        Self {
            limit: Limit::new(&conf),
            latency_limit: LatencyLimit::new(),
            queue: CallQueue::default(),
            running: FastMap::default(),
            displaced: Vec::new(),
            service_time: ServiceTime::default(),
            drain_rate: DrainRate::default(),
            flow: Flow::default(),
            run_us: 0,
            level: LevelControl::new(&conf),
            rate: None,
            beyond_rate: 0,
            random: Rng::with_seed(seed),
            conf,
        }
    }

    /// Decides about a call that has just arrived. When it has to wait, call [`Self::poll`] at
    /// once: a less important call may have lost its place to it.
    pub fn offer(&mut self, now: TimeMs, call: QueuedCall) -> Offer {
        self.level.note_offer(call.priority);
        self.flow.arrive(now);
        self.latency_limit.note_objective(call.due.since(now));
        self.refill(now);
        if !self.can_be_met(&call, now) {
            return Offer::Refuse(self.refusal(RefusalReason::DeadlineExceeded, now));
        }
        let is_first = self.queue.would_be_first(&call);
        if self.has_room() && is_first {
            self.start(call.ticket, call.priority, true);
            return Offer::Run;
        }
        if self.is_held_by_rate() {
            let ahead = if is_first { 0 } else { self.queue.len() };
            if !self.gets_token_in_time(&call, ahead, now) {
                return Offer::Refuse(self.beyond_rate());
            }
        } else {
            self.limit.note_full();
            self.latency_limit.note_full();
        }
        if self.queue.len() >= self.queue_bound() {
            if !self.queue.outranks_last(&call) {
                return Offer::Refuse(self.no_place(now));
            }
            self.displace_last(now);
        }
        self.queue.push(call, now);
        Offer::Wait
    }

    /// Notes that a call which ran came to its end. Call [`Self::poll`] after it. An unknown
    /// ticket is ignored.
    pub fn complete(&mut self, now: TimeMs, ticket: u64, completion: Completion) {
        let Some(priority) = self.running.remove(&ticket) else {
            return;
        };
        self.drain_rate.note(now);
        self.flow.end(now);
        self.limit.note(&completion, now);
        if completion.outcome == CallOutcome::Ok {
            let cap = self.limit.get();
            self.latency_limit.note_end(now, completion.service_us, cap);
            self.run_us = (self.run_us * (RUN_WEIGHT - 1) + completion.service_us) / RUN_WEIGHT;
            self.service_time
                .note(priority.class(), completion.service_us, now);
        }
    }

    /// Forgets a call that waits, because its caller went away. Returns whether it waited; if so
    /// it was not run and will not be. A call that runs has to be completed instead.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Starts what there is room for and refuses what waited too long. To be called after each
    /// offer that waits, each completion, and every few milliseconds.
    pub fn poll(&mut self, now: TimeMs) -> Vec<Action> {
        self.refill(now);
        self.displace_beyond_rate(now);
        let mut actions = std::mem::take(&mut self.displaced);
        while let Some(waiting) = self.queue.pop_given_up(now) {
            actions.push(self.give_up(&waiting, now));
        }
        if self
            .queue
            .important_waits_since()
            .is_some_and(|since| now.since(since) >= TRIAL_WAIT_MS)
        {
            self.limit.abandon_trial();
        }
        while self.has_room() {
            let Some(waiting) = self.queue.pop_first() else {
                break;
            };
            actions.push(self.start_or_give_up(&waiting, now));
        }
        if self.has_room() {
            self.limit.note_room();
        }
        let standing = self.level.standing();
        let queued = self.queue.count_within(self.level.level(), standing);
        self.level.note_queue(now, queued);
        actions
    }

    /// The lowest priority that is admitted at present, to be piggybacked on answers.
    pub fn level(&self) -> Priority {
        self.level.level()
    }

    /// First-hand figures, to be piggybacked on answers.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u32,
            limit: self.usable_limit(),
            queued: self.queue.len() as u32,
        }
    }

    /// How hard calls press on the backend server, in thousandths: the part of its limit that is
    /// taken, while calls wait times those that arrive for each that ends; and the time in which
    /// what waits is worked off, where [`FULL_WAIT_MS`] counts as much as the whole limit.
    ///
    /// The ratio tells at once by how much too many arrive. A queue alone tells it late, and goes on
    /// telling it when far fewer arrive.
    ///
    /// The wait is worked out from how long calls run and how many run at once, not from how many have lately
    /// ended: just after a start or a stall none have, and the pressure would look endless.
    pub fn pressure_permille(&self) -> u32 {
        let limit = u64::from(self.limit().max(1));
        let wait_us = self.wait_us();
        let mut taken = self.running.len() as u64 * 1_000 / limit;
        taken = taken.max(self.rate.map_or(0, |rate| rate.taken_permille()));
        if self.queue.len() as u64 > u64::from(self.usable_limit()) / STANDING_PART {
            taken = (taken as f32 * self.flow.ratio()) as u64;
        }
        let waiting = wait_us / FULL_WAIT_MS;
        u32::try_from(taken + waiting).map_or(MOST_PRESSURE_PERMILLE, |permille| {
            permille.min(MOST_PRESSURE_PERMILLE)
        })
    }

    /// Caps the limit by the slots that the backend server announces. It may only lower the limit.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit.set_cap(slots.min(self.conf.max_limit));
    }

    /// Takes over how many calls a second the backend server says it takes; `None` for as many as come.
    pub fn set_rate(&mut self, now: TimeMs, per_s: Option<f64>) {
        match (&mut self.rate, per_s) {
            (Some(rate), Some(per_s)) => rate.set_per_s(per_s, now),
            (rate, per_s) => *rate = per_s.map(|per_s| TokenBucket::new(per_s, now)),
        }
    }

    /// Calls turned away for the rate so far.
    pub fn rate_limited_calls(&self) -> u64 {
        self.beyond_rate
    }

    /// Takes over the number of classes of the preset in force.
    pub fn set_classes(&mut self, classes: usize) {
        self.level.set_classes(classes);
    }

    /// In what time a call that arrives now may expect to be started.
    pub fn expected_wait_ms(&self) -> u64 {
        self.wait_us() / 1_000
    }

    /// Says whether a service that the backend server calls is the bottleneck; see
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

    /// How many calls may run at once.
    pub fn limit(&self) -> u32 {
        self.limit.get().min(self.latency_limit.get())
    }

    /// How many calls run at once when the backend server gets as many as it takes: its slots, or the
    /// rate that it names times how long calls run.
    pub fn usable_limit(&self) -> u32 {
        let limit = self.limit();
        let Some(rate) = &self.rate else {
            return limit;
        };
        let by_rate = rate.per_s() * self.run_us as f64 / 1_000_000.0;
        limit.min(by_rate.ceil() as u32).max(1)
    }

    fn has_room(&self) -> bool {
        self.has_slot() && self.rate.is_none_or(|rate| rate.has_token())
    }

    fn has_slot(&self) -> bool {
        self.running.len() < self.limit() as usize
    }

    /// Whether calls wait for the rate that the backend server names, and not for its slots.
    fn is_held_by_rate(&self) -> bool {
        self.rate.is_some() && self.has_slot()
    }

    fn refill(&mut self, now: TimeMs) {
        if let Some(rate) = &mut self.rate {
            rate.refill(now);
        }
    }

    fn gets_token_in_time(&self, call: &QueuedCall, ahead: usize, now: TimeMs) -> bool {
        let wait_ms = self.rate.map_or(0, |rate| rate.wait_ms(ahead + 1));
        let waiting_ends = now + wait_ms;
        wait_ms < u64::from(call.wait_ms) && self.can_be_met(call, waiting_ends)
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

    fn can_be_met(&self, call: &QueuedCall, now: TimeMs) -> bool {
        let needed_ms = self.service_time.at_least_ms(call.priority.class(), now);
        now + needed_ms < call.deadline
    }

    fn start(&mut self, ticket: u64, priority: Priority, at_once: bool) {
        self.running.insert(ticket, priority);
        if let Some(rate) = &mut self.rate {
            rate.take();
        }
        self.level.note_start(at_once);
        debug_assert!(self.running.len() <= self.limit() as usize);
    }

    fn start_or_give_up(&mut self, waiting: &Waiting, now: TimeMs) -> Action {
        if !self.can_be_met(&waiting.call, now) {
            return self.give_up(waiting, now);
        }
        let call = &waiting.call;
        self.start(call.ticket, call.priority, false);
        Action::Start(call.ticket)
    }

    fn give_up(&mut self, waiting: &Waiting, now: TimeMs) -> Action {
        let reason = if self.can_be_met(&waiting.call, now) {
            RefusalReason::WaitExceeded
        } else {
            RefusalReason::DeadlineExceeded
        };
        Action::Refuse(waiting.call.ticket, self.refusal(reason, now))
    }

    /// What waited for slots when a rate was named would wait too long for tokens.
    fn displace_beyond_rate(&mut self, now: TimeMs) {
        while self.rate.is_some() && self.queue.len() > self.queue_bound() {
            self.displace_last(now);
        }
    }

    fn displace_last(&mut self, now: TimeMs) {
        let Some(waiting) = self.queue.pop_last() else {
            return;
        };
        let refusal = self.no_place(now);
        let action = Action::Refuse(waiting.call.ticket, refusal);
        self.displaced.push(action);
    }

    /// The refusal of a call for which the queue has no place.
    fn no_place(&mut self, now: TimeMs) -> Refusal {
        if self.is_held_by_rate() {
            self.beyond_rate()
        } else {
            self.refusal(RefusalReason::Overloaded, now)
        }
    }

    /// A refusal that says when the rate will have let through what waits now, and later by up to half, so
    /// that those refused together do not come back together.
    fn beyond_rate(&mut self) -> Refusal {
        self.beyond_rate += 1;
        let ahead = self.queue.len() + 1;
        let room_ms = self.rate.map_or(0, |rate| rate.wait_ms(ahead));
        let wait_ms = room_ms.clamp(LEAST_RETRY_AFTER_MS, MOST_RETRY_AFTER_MS);
        let jittered_ms = self.random.u64(wait_ms..=wait_ms + wait_ms / 2);
        Refusal::not_run(RefusalReason::RateLimited, jittered_ms)
    }

    /// A refusal that says when what waits now will have been worked off, spread by half either
    /// way so that those refused together do not come back together.
    fn refusal(&mut self, reason: RefusalReason, now: TimeMs) -> Refusal {
        let ahead = self.queue.len() as u64 + 1;
        let drained_ms = self.drain_rate.time_for_ms(ahead, now);
        let wait_ms = drained_ms.clamp(LEAST_RETRY_AFTER_MS, MOST_RETRY_AFTER_MS);
        let jittered_ms = self.random.u64(wait_ms / 2..=wait_ms + wait_ms / 2);
        Refusal::not_run(reason, jittered_ms)
    }
}
