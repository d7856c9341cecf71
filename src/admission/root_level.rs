//! What an entry lets in for the sake of one pressed service.

use crate::admission::gaps::Gaps;
use crate::core::Priority;
use crate::core::TimeMs;

/// Classes that are told apart; higher ones share the last place.
const CLASSES: usize = 16;
/// Ranks of a class, which identifiers spread evenly.
const RANKS: f32 = 65_536.0;
/// How often a level is worked out anew, in milliseconds: about as long as a call tree takes to show
/// the effect of the step before.
const WINDOW_MS: u64 = 200;
/// The weight of what earlier windows offered, against one for the present one.
const MEMORY: f32 = 0.8;
/// The pressure that is aimed at: nearly all slots taken, and little that waits.
const AIM: f32 = 0.95;
/// Which part of the way to the aim is gone in one window, as a power. The way is known only as
/// well as pressure says what is let in, and its effect shows later than the next window.
const PART: f32 = 0.6;
/// After a fall by more than this the next one has to wait for a window.
const HOLD_FROM: f32 = 0.9;
/// The largest fall and rise in one window.
const LONGEST_FALL: f32 = 0.7;
const LONGEST_RISE: f32 = 1.25;
/// What is left of a pressure after a window in which nothing came back.
const KEPT_IN_SILENCE: f32 = 0.5;
/// A rise is a part of what is let in, or of this part of what is wanted where that is more: else
/// admission that has fallen to almost nothing would take long to return.
const LEAST_BASE: f32 = 0.1;
/// A level that was neither asked nor told anything for so long says nothing any more, in milliseconds; or
/// for so many times its usual gap, where that is more.
const STALE_MS: u64 = 1_000;
const STALE_GAPS: f32 = 4.0;
/// After so many times the usual gap between reports, the lack of one says that nothing came back.
const SILENT_GAPS: f32 = 4.0;
/// Demand is remembered for so long, in milliseconds, or over so many usual gaps where that is more.
const REMEMBERED_MS: f32 = WINDOW_MS as f32 / (1.0 - MEMORY);
const REMEMBERED_GAPS: f32 = 8.0;
/// A step made after a longer time counts for so many windows at most.
const MOST_WINDOWS: f32 = 5.0;
/// A level closes no further than this part of the most important class.
const LEAST_OPEN: f32 = 1.0 / 64.0;
/// Less than this is wanted of nothing, and the share of it that is let in says nothing.
const LEAST_WANTED: f32 = 0.01;

/// The level of one pressed service.
#[derive(Clone, Debug)]
pub(super) struct RootLevel {
    since: TimeMs,
    /// When it was steered last.
    steered: TimeMs,
    /// Between requests that ask.
    asked: Gaps,
    /// Between reports.
    told: Gaps,
    /// Requests per window and class that press on the service, smoothed.
    demand: [f32; CLASSES],
    fresh: [f32; CLASSES],
    /// Classes below this are let in, the one at it in part.
    open: f32,
    /// The last window brought a large fall, the effect of which is waited for.
    held: bool,
    /// Pressure in slots of slots, as last reported, and less after silence.
    pressure: f32,
    /// The sum and number of reports in this window.
    pressure_sum: u64,
    reports: u32,
}

impl RootLevel {
    /// Everything is let in.
    pub fn new(now: TimeMs) -> Self {
        Self {
            since: now,
            steered: now,
            asked: Gaps::new(now),
            told: Gaps::new(now),
            demand: [0.0; CLASSES],
            fresh: [0.0; CLASSES],
            open: full(),
            held: false,
            pressure: 0.0,
            pressure_sum: 0,
            reports: 0,
        }
    }

    /// Decides about a request, and counts it as wanted.
    pub fn may_pass(&mut self, now: TimeMs, priority: Priority) -> bool {
        self.roll_if_due(now);
        self.asked.note(now);
        let (class, part) = place(priority);
        self.fresh[class] += 1.0;
        (class as f32) + part < self.open
    }

    /// Takes in how hard the service is pressed.
    pub fn note(&mut self, now: TimeMs, permille: u32) {
        self.pressure_sum += u64::from(permille);
        self.reports += 1;
        self.roll_if_due(now);
        self.told.note(now);
    }

    /// Whether everything is let in.
    pub fn is_open(&self) -> bool {
        self.open >= full()
    }

    /// How hard calls press on the service, in thousandths.
    pub fn pressure_permille(&self) -> u32 {
        (self.pressure * 1_000.0) as u32
    }

    /// The part of what is wanted that is let in, in percent.
    pub fn admitted_percent(&self) -> u32 {
        let wanted: f32 = self.demand.iter().sum();
        let admitted = self.sum_open() / wanted.max(LEAST_WANTED);
        (admitted * 100.0) as u32
    }

    fn roll_if_due(&mut self, now: TimeMs) {
        let span_ms = now.since(self.since);
        if span_ms < WINDOW_MS {
            return;
        }
        self.since = now;
        self.remember(span_ms);
        if span_ms as f32 >= self.stale_ms() {
            self.reopen();
            return;
        }
        if self.reports == 0 && !self.is_silent(now) {
            // Nothing is known that was not known at the last step.
            return;
        }
        self.take_pressure();
        let windows = now.since(self.steered) as f32 / WINDOW_MS as f32;
        self.steered = now;
        self.steer(windows.clamp(1.0, MOST_WINDOWS));
    }

    /// After how long without any event it says nothing any more.
    fn stale_ms(&self) -> f32 {
        let gap_ms = self.asked.usual_ms.min(self.told.usual_ms);
        (gap_ms * STALE_GAPS).max(STALE_MS as f32)
    }

    /// Whether a report should have come by now.
    fn is_silent(&self, now: TimeMs) -> bool {
        self.told.since_last_ms(now) >= self.told.usual_ms * SILENT_GAPS
    }

    /// Guards against a level that outlives its pressure: once another service is the tightest one on
    /// a route, this one's level is neither asked nor told anything, and it stays as low as it was.
    /// When its service is the tightest again seconds later, nearly everything would be refused at
    /// once, for as long as the level takes to rise.
    fn reopen(&mut self) {
        self.open = full();
        self.held = false;
        self.pressure = 0.0;
        self.pressure_sum = 0;
        self.reports = 0;
    }

    /// What a report says is smoothed where it comes from. Silence says that nothing came back, so what is
    /// known counts for less.
    fn take_pressure(&mut self) {
        self.pressure = match self.reports {
            0 => self.pressure * KEPT_IN_SILENCE,
            reports => self.pressure_sum as f32 / reports as f32 / 1_000.0,
        };
        self.pressure_sum = 0;
        self.reports = 0;
    }

    fn remember(&mut self, span_ms: u64) {
        let windows = span_ms as f32 / WINDOW_MS as f32;
        let longer = self.asked.usual_ms * REMEMBERED_GAPS / REMEMBERED_MS;
        let memory = MEMORY.powf(windows / longer.max(1.0));
        for (demand, fresh) in self.demand.iter_mut().zip(&mut self.fresh) {
            *demand = *demand * memory + *fresh / windows * (1.0 - memory);
            *fresh = 0.0;
        }
    }

    /// Moves what is let in toward where the pressure would be the aim.
    fn steer(&mut self, windows: f32) {
        if self.pressure <= AIM && self.is_open() {
            return;
        }
        let part = 1.0 - (1.0 - PART).powf(windows);
        let factor = (AIM / self.pressure.max(0.1)).powf(part);
        let factor = factor.clamp(LONGEST_FALL.powf(windows), LONGEST_RISE.powf(windows));
        let admitted = self.sum_open();
        if factor < 1.0 {
            if self.held {
                self.held = false;
                return;
            }
            self.held = factor < HOLD_FROM;
            self.open = self.place_of(admitted * factor);
            return;
        }
        self.held = false;
        let total: f32 = self.demand.iter().sum();
        let more = admitted.max(total * LEAST_BASE) * (factor - 1.0);
        self.open = self.place_of(admitted + more).max(self.open);
    }

    /// How much of the demand is let in.
    fn sum_open(&self) -> f32 {
        let whole = self.open as usize;
        let sum: f32 = self.demand.iter().take(whole).sum();
        let part = self.open - whole as f32;
        sum + self.demand.get(whole).map_or(0.0, |demand| demand * part)
    }

    /// Up to where the demand sums up to this much.
    fn place_of(&self, wanted: f32) -> f32 {
        let mut sum = 0.0;
        for (class, demand) in self.demand.iter().enumerate() {
            if sum + demand > wanted {
                let part = (wanted - sum) / demand;
                return (class as f32 + part).max(LEAST_OPEN);
            }
            sum += demand;
        }
        full()
    }
}

fn full() -> f32 {
    CLASSES as f32
}

/// The class of a priority, and how far into it.
fn place(priority: Priority) -> (usize, f32) {
    let class = usize::from(priority.class()).min(CLASSES - 1);
    (class, f32::from(priority.rank()) / RANKS)
}
