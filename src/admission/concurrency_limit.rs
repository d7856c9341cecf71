//! The number of calls that the backend server is given at once, adapted to what the guard
//! observes.

use crate::admission::AdmissionConf;
use crate::admission::CallOutcome;
use crate::admission::Completion;
use crate::core::TimeMs;

/// A trial is started when the own service time exceeds this percentage of its baseline. The own
/// service time leaves out the time in which child calls are outstanding.
const SLOW_PERCENT: u64 = 150;
/// The limit may rise while the own service time is at most this percentage of its baseline.
const RAISE_MAX_PERCENT: u64 = 125;
/// A trial lowers the limit to this percentage.
const TRIAL_PERCENT: u32 = 70;
/// Calls were queued inside the backend server if the throughput under the lowered limit is at
/// least this percentage of that before the trial.
const UNCHANGED_PERCENT: u64 = 86;
/// A window needs this many calls to be evaluated.
const MIN_SAMPLES: u64 = 10;
/// Before the first calls have ended, the announced slots divided by this are used.
const INITIAL_CAP_PART: u32 = 4;
/// A window needs this many calls while the limit is first being found.
const MIN_STARTUP_SAMPLES: u64 = 4;
/// The throughput before a trial is measured over at least this many calls.
const MIN_SAMPLES_BEFORE_TRIAL: u64 = 80;
/// A trial that shows a lower throughput needs this many calls. It costs goodput while it lasts.
const MIN_SAMPLES_TO_RESTORE: u64 = 40;
/// A trial that shows an unchanged throughput needs this many calls. It costs nothing, but lowering
/// the limit by mistake would.
const MIN_SAMPLES_TO_LOWER: u64 = 160;
/// How often the limit is raised a little while it would otherwise stay where it is. One case is a
/// limit just below the point where the backend server shed calls. The other is a slow backend
/// server for which calls wait only at times, so that no trial is possible. A limit that was
/// lowered by mistake recovers in this way.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// The limit is raised by one part in this.
const PROBE_PART: u32 = 20;

/// Completed calls over a span of time.
#[derive(Clone, Copy, Debug)]
struct SampleWindow {
    since: TimeMs,
    samples: u64,
    sum_us: u64,
    /// Calls waited for room all the time, so the throughput shows the capacity of the backend
    /// server.
    full: bool,
}

impl SampleWindow {
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

/// The state before a trial, with which its result is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Trial {
    limit_before: u32,
    per_second_before: u64,
}

/// The state of the limit's adaptation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The own service time is close to its baseline.
    Steady,
    /// The own service time is long. The throughput under the current limit is being measured.
    MeasuringCurrent,
    /// The limit has been lowered. Calls started under the old limit are being completed.
    Draining(Trial),
    /// The throughput under the lowered limit is being measured.
    MeasuringLowered(Trial),
}

/// A concurrency limit that rises while service times are ordinary, and falls when a trial shows
/// that a lower limit gives the same throughput.
///
/// Guards against two failures that look alike, because both increase the service time. In the
/// first, a backend server is given more calls than it can run and queues the rest inside, where
/// nothing orders or refuses them. In the second, a backend server has become slow and needs every
/// slot. A limit that follows the service time alone turns the second failure into an outage. The
/// limit is therefore lowered for a short trial. If the throughput stays the same, calls were
/// queued inside. If it falls as well, the longer service time becomes the new baseline.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: u32,
    cap: u32,
    floor: u32,
    adapts_limit: bool,
    window_ms: u64,
    window: SampleWindow,
    trial: SampleWindow,
    phase: Phase,
    /// The usual own service time; 0 before the first window.
    baseline_us: u64,
    /// The limit is first being found. It doubles in each window in which calls waited for room.
    starting: bool,
    /// A call had to wait for room in this window.
    was_full: bool,
    /// Calls shed by the backend server in this window.
    sheds: u64,
    /// The limit after calls were last shed, raised by each probe. Only probes go beyond it.
    shed_limit: u32,
    /// When the limit was last raised by a probe, or lowered after calls were shed.
    probed_at: TimeMs,
}

impl ConcurrencyLimit {
    pub fn new(conf: &AdmissionConf) -> Self {
        Self {
            limit: conf.initial_limit,
            cap: conf.max_limit,
            floor: conf.min_limit,
            adapts_limit: conf.adapts_limit,
            window_ms: conf.window_ms,
            window: SampleWindow::new(TimeMs(0)),
            trial: SampleWindow::new(TimeMs(0)),
            phase: Phase::Steady,
            baseline_us: 0,
            starting: true,
            was_full: false,
            sheds: 0,
            shed_limit: u32::MAX,
            probed_at: TimeMs(0),
        }
    }

    pub fn get(&self) -> u32 {
        self.limit
    }

    /// The announced slots, as far as the operator allows them.
    pub fn cap(&self) -> u32 {
        self.cap
    }

    /// Caps the limit by the announced slots. Does not raise a limit that has been learnt from
    /// completed calls: that takes calls that were answered in time.
    pub fn set_cap(&mut self, cap: u32) {
        if !self.adapts_limit {
            self.limit = cap.max(1);
        }
        if self.baseline_us == 0 {
            self.limit = self.limit.max(cap / INITIAL_CAP_PART);
        }
        self.cap = cap.max(1);
        self.limit = self.limit.min(self.cap);
    }

    /// Ends a trial without a result, because it delays important calls.
    pub fn abandon_trial(&mut self) {
        if let Phase::Draining(trial) | Phase::MeasuringLowered(trial) = self.phase {
            self.phase = Phase::Steady;
            self.limit = trial.limit_before.min(self.cap);
        }
    }

    /// Records that a call had to wait for room.
    pub fn record_full(&mut self) {
        self.was_full = true;
    }

    /// Records that there is room and no call waits.
    pub fn record_room(&mut self) {
        self.window.full = false;
        self.trial.full = false;
    }

    pub fn record(&mut self, completion: &Completion, now: TimeMs) {
        match completion.outcome {
            CallOutcome::Ok => {
                let own_us = completion.service_us.saturating_sub(completion.child_us);
                for sample_window in [&mut self.window, &mut self.trial] {
                    sample_window.samples += 1;
                    sample_window.sum_us += own_us;
                }
            }
            CallOutcome::Shed => self.sheds += 1,
            CallOutcome::Failed | CallOutcome::Cancelled => {}
        }
        let min_samples = if self.starting {
            MIN_STARTUP_SAMPLES
        } else {
            MIN_SAMPLES
        };
        let enough = self.sheds > 0 || self.window.samples >= min_samples;
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
            self.adapt(now);
        }
        self.limit = self.limit.max(self.floor).min(self.cap);
        self.window = SampleWindow::new(now);
        self.was_full = false;
        self.sheds = 0;
    }

    fn back_off(&mut self, now: TimeMs) {
        self.limit -= (self.limit / 10).max(1).min(self.limit);
        self.shed_limit = self.limit;
        self.probed_at = now;
        self.starting = false;
        self.phase = Phase::Steady;
    }

    fn adapt(&mut self, now: TimeMs) {
        let mean_us = self.window.mean_us().max(1);
        if self.baseline_us == 0 {
            self.baseline_us = mean_us;
        }
        match self.phase {
            Phase::Steady => self.steady(mean_us, now),
            Phase::MeasuringCurrent => self.measure_current(mean_us, now),
            Phase::Draining(trial) => self.wait_for_drain(trial, now),
            Phase::MeasuringLowered(trial) => self.evaluate(trial, now),
        }
    }

    fn steady(&mut self, mean_us: u64, now: TimeMs) {
        let percent = mean_us * 100 / self.baseline_us;
        if percent > SLOW_PERCENT {
            self.starting = false;
            if self.was_full {
                self.phase = Phase::MeasuringCurrent;
                self.trial = SampleWindow::new(now);
            }
            return;
        }
        if mean_us < self.baseline_us {
            self.baseline_us = (self.baseline_us * 3 + mean_us) / 4;
        } else if !self.was_full {
            self.baseline_us = (self.baseline_us * 31 + mean_us) / 32;
        }
        if percent <= RAISE_MAX_PERCENT && self.was_full {
            self.raise(now);
        }
    }

    fn raise(&mut self, now: TimeMs) {
        let step = if self.starting {
            self.limit
        } else {
            (self.limit / 10).max(1)
        };
        let wanted = self.limit + step;
        if wanted <= self.shed_limit {
            self.limit = wanted;
        } else {
            self.probe_higher(now);
        }
    }

    fn probe_higher(&mut self, now: TimeMs) {
        if now.since(self.probed_at) < PROBE_INTERVAL_MS {
            return;
        }
        self.limit += (self.limit / PROBE_PART).max(1);
        self.shed_limit = self.shed_limit.max(self.limit);
        self.probed_at = now;
    }

    fn measure_current(&mut self, mean_us: u64, now: TimeMs) {
        if mean_us * 100 / self.baseline_us <= SLOW_PERCENT {
            self.phase = Phase::Steady;
            return;
        }
        if !self.trial.full {
            self.phase = Phase::Steady;
            self.probe_higher(now);
            return;
        }
        if self.trial.samples < MIN_SAMPLES_BEFORE_TRIAL {
            return;
        }
        self.phase = Phase::Draining(Trial {
            limit_before: self.limit,
            per_second_before: self.trial.per_second(now),
        });
        // Rounded up, so that a trial takes one of 4 slots and not two.
        let lowered = (self.limit * TRIAL_PERCENT).div_ceil(100);
        self.limit = lowered.min(self.limit.saturating_sub(1));
        self.trial = SampleWindow::new(now);
    }

    fn wait_for_drain(&mut self, trial: Trial, now: TimeMs) {
        if self.trial.samples >= u64::from(trial.limit_before) {
            self.phase = Phase::MeasuringLowered(trial);
            self.trial = SampleWindow::new(now);
        }
    }

    fn evaluate(&mut self, trial: Trial, now: TimeMs) {
        let per_second = self.trial.per_second(now);
        let same = per_second * 100 >= trial.per_second_before * UNCHANGED_PERCENT;
        let needed = if same {
            MIN_SAMPLES_TO_LOWER
        } else {
            MIN_SAMPLES_TO_RESTORE
        };
        if self.trial.full && self.trial.samples < needed {
            return;
        }
        self.phase = Phase::Steady;
        if self.trial.full && same {
            return;
        }
        self.limit = trial.limit_before;
        if self.trial.full {
            self.baseline_us = self.trial.mean_us();
        }
    }
}
