//! How many calls the backend server is given at once, learnt first hand.

use crate::admission::AdmissionConf;
use crate::admission::Completion;
use crate::admission::CallOutcome;
use crate::core::TimeMs;

/// Own service time in percent of the ordinary one from which a trial is due.
const SLOW_PERCENT: u64 = 150;
/// Own service time in percent of the ordinary one up to which the limit may rise.
const CALM_PERCENT: u64 = 125;
/// A trial lowers the limit to this, in percent.
const TRIAL_PERCENT: u32 = 70;
/// A trial has shown that calls were queueing inside the backend server when the throughput under
/// the lower limit is at least this, in percent of that before.
const SAME_PERCENT: u64 = 86;
/// A window has to have seen this many calls to be judged.
const LEAST_SAMPLES: u64 = 10;
/// Before anything is known, one in this many of the announced slots is used.
const FIRST_SHARE: u32 = 4;
/// The same while the limit is first being found.
const STARTING_SAMPLES: u64 = 4;
/// What a trial is compared with has to have seen this many.
const BEFORE_SAMPLES: u64 = 80;
/// A trial that shows less throughput has to have seen this many; it costs goodput as it lasts.
const LESS_SAMPLES: u64 = 40;
/// A trial that shows the same throughput has to have seen this many; it costs nothing, but to
/// lower the limit by mistake would.
const SAME_SAMPLES: u64 = 160;
/// How often the limit creeps up: after sheds, where it stays below where they began, and while
/// calls wait now and then but not throughout, so that no trial is possible. A limit that was
/// lowered by mistake does not stay.
const CREEP_MS: u64 = 1_000;
/// It creeps up by one part in this.
const CREEP_SHARE: u32 = 20;

/// What was seen over a stretch of time.
#[derive(Clone, Copy, Debug)]
struct Stretch {
    since: TimeMs,
    samples: u64,
    sum_us: u64,
    /// Calls always waited for room, so throughput shows what the backend server can do.
    full: bool,
}

impl Stretch {
    fn new(now: TimeMs) -> Self {
        Self {
            since: now,
            samples: 0,
            sum_us: 0,
            full: true,
        }
    }

    fn mean_us(&self) -> u64 {
        self.sum_us / self.samples.max(1)
    }

    fn per_second(&self, now: TimeMs) -> u64 {
        self.samples * 1_000_000 / now.since(self.since).max(1)
    }
}

/// What a trial is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Trial {
    limit_before: u32,
    per_second_before: u64,
}

/// What the limit is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Own service time is ordinary.
    Steady,
    /// It is long, and throughput is being measured under the limit as it is.
    Before,
    /// The limit has been lowered, and what was started under the old one is coming to its end.
    Settling(Trial),
    /// Throughput is being measured under the lower limit.
    Lowered(Trial),
}

/// A limit that rises while calls are answered in ordinary time, and falls when a trial shows that
/// less would do.
///
/// Guards against two failures that look alike: a backend server that is given more than it can
/// run queues the rest inside, where nothing orders or refuses it; and one that has become slow
/// needs every slot. In both, service time grows. A limit that falls with service time alone turns
/// the second into an outage. So the limit is lowered for a moment: when throughput stays, calls
/// were queueing inside; when it falls as well, the longer service time is the ordinary one now.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    limit: u32,
    cap: u32,
    least: u32,
    adapts_limit: bool,
    window_ms: u64,
    window: Stretch,
    trial: Stretch,
    phase: Phase,
    ordinary_us: u64,
    starting: bool,
    was_full: bool,
    sheds: u64,
    shed_mark: u32,
    crept_at: TimeMs,
}

impl Limit {
    pub fn new(conf: &AdmissionConf) -> Self {
        Self {
            limit: conf.initial_limit,
            cap: conf.max_limit,
            least: conf.min_limit,
            adapts_limit: conf.adapts_limit,
            window_ms: conf.window_ms,
            window: Stretch::new(TimeMs(0)),
            trial: Stretch::new(TimeMs(0)),
            phase: Phase::Steady,
            ordinary_us: 0,
            starting: true,
            was_full: false,
            sheds: 0,
            shed_mark: u32::MAX,
            crept_at: TimeMs(0),
        }
    }

    pub fn get(&self) -> u32 {
        self.limit
    }

    /// Caps the limit by what the backend server announces. It cannot raise the limit: that takes
    /// calls that were answered in time.
    pub fn set_cap(&mut self, cap: u32) {
        if !self.adapts_limit {
            self.limit = cap.max(1);
        }
        if self.ordinary_us == 0 {
            self.limit = self.limit.max(cap / FIRST_SHARE);
        }
        self.cap = cap.max(1);
        self.limit = self.limit.min(self.cap);
    }

    /// Ends a trial without a result, because work that matters would pay for it.
    pub fn abandon_trial(&mut self) {
        if let Phase::Settling(trial) | Phase::Lowered(trial) = self.phase {
            self.phase = Phase::Steady;
            self.limit = trial.limit_before.min(self.cap);
        }
    }

    /// Notes that a call had to wait for room.
    pub fn note_full(&mut self) {
        self.was_full = true;
    }

    /// Notes that there is room and nobody waits.
    pub fn note_room(&mut self) {
        self.window.full = false;
        self.trial.full = false;
    }

    pub fn note(&mut self, completion: &Completion, now: TimeMs) {
        match completion.outcome {
            CallOutcome::Ok => {
                let own_us = completion.service_us.saturating_sub(completion.child_us);
                for stretch in [&mut self.window, &mut self.trial] {
                    stretch.samples += 1;
                    stretch.sum_us += own_us;
                }
            }
            CallOutcome::Shed => self.sheds += 1,
            CallOutcome::Failed | CallOutcome::Cancelled => {}
        }
        let least = if self.starting {
            STARTING_SAMPLES
        } else {
            LEAST_SAMPLES
        };
        let enough = self.sheds > 0 || self.window.samples >= least;
        if now.since(self.window.since) >= self.window_ms && enough {
            self.adjust(now);
        }
    }

    fn adjust(&mut self, now: TimeMs) {
        if !self.adapts_limit {
            self.limit = self.cap;
        } else if self.sheds > 0 {
            self.back_off(now);
        } else {
            self.follow(now);
        }
        self.limit = self.limit.max(self.least).min(self.cap);
        self.window = Stretch::new(now);
        self.was_full = false;
        self.sheds = 0;
    }

    fn back_off(&mut self, now: TimeMs) {
        self.limit -= (self.limit / 10).max(1).min(self.limit);
        self.shed_mark = self.limit;
        self.crept_at = now;
        self.starting = false;
        self.phase = Phase::Steady;
    }

    fn follow(&mut self, now: TimeMs) {
        let mean_us = self.window.mean_us().max(1);
        if self.ordinary_us == 0 {
            self.ordinary_us = mean_us;
        }
        match self.phase {
            Phase::Steady => self.steady(mean_us, now),
            Phase::Before => self.before(mean_us, now),
            Phase::Settling(trial) => self.settle(trial, now),
            Phase::Lowered(trial) => self.judge(trial, now),
        }
    }

    fn steady(&mut self, mean_us: u64, now: TimeMs) {
        let percent = mean_us * 100 / self.ordinary_us;
        if percent > SLOW_PERCENT {
            self.starting = false;
            if self.was_full {
                self.phase = Phase::Before;
                self.trial = Stretch::new(now);
            }
            return;
        }
        if mean_us < self.ordinary_us {
            self.ordinary_us = (self.ordinary_us * 3 + mean_us) / 4;
        } else if !self.was_full {
            self.ordinary_us = (self.ordinary_us * 31 + mean_us) / 32;
        }
        if percent <= CALM_PERCENT && self.was_full {
            self.rise(now);
        }
    }

    fn rise(&mut self, now: TimeMs) {
        let step = if self.starting {
            self.limit
        } else {
            (self.limit / 10).max(1)
        };
        let wanted = self.limit + step;
        if wanted <= self.shed_mark {
            self.limit = wanted;
        } else {
            self.creep(now);
        }
    }

    fn creep(&mut self, now: TimeMs) {
        if now.since(self.crept_at) < CREEP_MS {
            return;
        }
        self.limit += (self.limit / CREEP_SHARE).max(1);
        self.shed_mark = self.shed_mark.max(self.limit);
        self.crept_at = now;
    }

    fn before(&mut self, mean_us: u64, now: TimeMs) {
        if mean_us * 100 / self.ordinary_us <= SLOW_PERCENT {
            self.phase = Phase::Steady;
            return;
        }
        if !self.trial.full {
            self.phase = Phase::Steady;
            self.creep(now);
            return;
        }
        if self.trial.samples < BEFORE_SAMPLES {
            return;
        }
        self.phase = Phase::Settling(Trial {
            limit_before: self.limit,
            per_second_before: self.trial.per_second(now),
        });
        // Rounded up: of 4 slots a trial may cost one, not two.
        let lowered = (self.limit * TRIAL_PERCENT).div_ceil(100);
        self.limit = lowered.min(self.limit.saturating_sub(1));
        self.trial = Stretch::new(now);
    }

    fn settle(&mut self, trial: Trial, now: TimeMs) {
        if self.trial.samples >= u64::from(trial.limit_before) {
            self.phase = Phase::Lowered(trial);
            self.trial = Stretch::new(now);
        }
    }

    fn judge(&mut self, trial: Trial, now: TimeMs) {
        let per_second = self.trial.per_second(now);
        let same = per_second * 100 >= trial.per_second_before * SAME_PERCENT;
        let needed = if same { SAME_SAMPLES } else { LESS_SAMPLES };
        if self.trial.full && self.trial.samples < needed {
            return;
        }
        self.phase = Phase::Steady;
        if self.trial.full && same {
            return;
        }
        self.limit = trial.limit_before;
        if self.trial.full {
            self.ordinary_us = self.trial.mean_us();
        }
    }
}
