//! The admission level of one overloaded service at an entry.

use crate::admission::event_interval::EventInterval;
use crate::core::Priority;
use crate::core::TimeMs;

/// The number of classes that are distinguished. Higher ones share the last index.
const CLASSES: usize = 16;
/// The number of ranks of a class. Identifiers are spread evenly over them.
const RANKS: f32 = 65_536.0;
/// How often a level is recomputed, in milliseconds: about the time in which a call tree shows the
/// effect of the last step.
const WINDOW_MS: u64 = 200;
/// The weight of earlier windows in the smoothed demand. The present window has the rest.
const DEMAND_MEMORY: f32 = 0.8;
/// The target pressure: nearly all slots in use, and a short queue.
const TARGET_PRESSURE: f32 = 0.95;
/// The part of the difference to the target that is corrected in one window, as an exponent. The
/// difference is known only as well as the pressure reflects the admitted load, and an effect shows
/// later than the next window.
const ADJUST_PART: f32 = 0.6;
/// After a decrease to less than this factor, the next decrease has to wait for a window.
const HOLD_BELOW: f32 = 0.9;
/// Bounds of the factor by which the admitted demand changes in one window.
const MIN_FACTOR: f32 = 0.7;
const MAX_FACTOR: f32 = 1.25;
/// The part of the pressure that is kept after a window without reports.
const PRESSURE_KEPT_WITHOUT_REPORTS: f32 = 0.5;
/// An increase is a part of the admitted demand, or of this part of the total demand if that is
/// more. Otherwise a level that has fallen to almost nothing would take long to rise.
const MIN_INCREASE_BASE: f32 = 0.1;
/// A level with neither requests nor reports for this long is stale, in milliseconds; or for this
/// many times its usual interval, if that is longer.
const STALE_MS: u64 = 1_000;
const STALE_INTERVALS: f32 = 4.0;
/// A report is overdue after this many times the usual interval.
const OVERDUE_INTERVALS: f32 = 4.0;
/// How long demand is remembered, in milliseconds; or this many usual intervals, if that is longer.
const DEMAND_MEMORY_MS: f32 = WINDOW_MS as f32 / (1.0 - DEMAND_MEMORY);
const DEMAND_MEMORY_INTERVALS: f32 = 8.0;
/// An adjustment corrects for the windows since the last one, but for this many at most.
const MAX_WINDOWS: f32 = 5.0;
/// At least this part of the most important class is always admitted.
const MIN_LEVEL: f32 = 1.0 / 64.0;
/// A smaller demand counts as none, because the admitted share of it is not meaningful.
const MIN_DEMAND: f32 = 0.01;

/// The admission level of one overloaded service.
#[derive(Clone, Debug)]
pub(super) struct RootLevel {
    since: TimeMs,
    /// When the level was last adjusted.
    adjusted_at: TimeMs,
    request_interval: EventInterval,
    report_interval: EventInterval,
    /// Requests per window and class that load the service, smoothed.
    demand: [f32; CLASSES],
    new_demand: [f32; CLASSES],
    /// Classes below this are admitted, and the class at it in part.
    level: f32,
    /// The last window brought a large decrease, and its effect has to show before the next one.
    decrease_on_hold: bool,
    /// Pressure as last reported, where 1 is a full limit; it decays without reports.
    pressure: f32,
    /// The sum and number of reports in this window.
    pressure_sum: u64,
    reports: u32,
}

impl RootLevel {
    /// Creates a level that admits everything.
    pub fn new(now: TimeMs) -> Self {
        Self {
            since: now,
            adjusted_at: now,
            request_interval: EventInterval::new(now),
            report_interval: EventInterval::new(now),
            demand: [0.0; CLASSES],
            new_demand: [0.0; CLASSES],
            level: all_classes(),
            decrease_on_hold: false,
            pressure: 0.0,
            pressure_sum: 0,
            reports: 0,
        }
    }

    /// Decides about a request, and counts it in the demand.
    pub fn may_pass(&mut self, now: TimeMs, priority: Priority) -> bool {
        self.roll_if_due(now);
        self.request_interval.record(now);
        let (class, part) = class_and_part(priority);
        self.new_demand[class] += 1.0;
        (class as f32) + part < self.level
    }

    /// Records the reported pressure on the service.
    pub fn record(&mut self, now: TimeMs, permille: u32) {
        self.pressure_sum += u64::from(permille);
        self.reports += 1;
        self.roll_if_due(now);
        self.report_interval.record(now);
    }

    /// Whether everything is admitted.
    pub fn admits_all(&self) -> bool {
        self.level >= all_classes()
    }

    /// The pressure on the service, in thousandths.
    pub fn pressure_permille(&self) -> u32 {
        (self.pressure * 1_000.0) as u32
    }

    /// The admitted percentage of the demand.
    pub fn admitted_percent(&self) -> u32 {
        let total: f32 = self.demand.iter().sum();
        let admitted = self.admitted_demand() / total.max(MIN_DEMAND);
        (admitted * 100.0) as u32
    }

    fn roll_if_due(&mut self, now: TimeMs) {
        let span_ms = now.since(self.since);
        if span_ms < WINDOW_MS {
            return;
        }
        self.since = now;
        self.update_demand(span_ms);
        if span_ms as f32 >= self.stale_ms() {
            self.admit_all();
            return;
        }
        if self.reports == 0 && !self.is_report_overdue(now) {
            // There is no new information since the last step.
            return;
        }
        self.update_pressure();
        let windows = now.since(self.adjusted_at) as f32 / WINDOW_MS as f32;
        self.adjusted_at = now;
        self.adjust(windows.clamp(1.0, MAX_WINDOWS));
    }

    /// The time without any event after which the level is stale.
    fn stale_ms(&self) -> f32 {
        let interval_ms = self
            .request_interval
            .mean_ms
            .min(self.report_interval.mean_ms);
        (interval_ms * STALE_INTERVALS).max(STALE_MS as f32)
    }

    /// Whether a report is overdue.
    fn is_report_overdue(&self, now: TimeMs) -> bool {
        self.report_interval.since_last_ms(now) >= self.report_interval.mean_ms * OVERDUE_INTERVALS
    }

    /// Raises the level until everything is admitted.
    ///
    /// Guards against a level that outlives its pressure. Once another service is the most
    /// overloaded one on a route, this level gets neither requests nor reports and stays as low as
    /// it was. When its service becomes the most overloaded one again seconds later, nearly
    /// everything would be refused until the level has risen.
    fn admit_all(&mut self) {
        self.level = all_classes();
        self.decrease_on_hold = false;
        self.pressure = 0.0;
        self.pressure_sum = 0;
        self.reports = 0;
    }

    /// Reports are already smoothed by their sender. Without reports the known pressure decays.
    fn update_pressure(&mut self) {
        self.pressure = match self.reports {
            0 => self.pressure * PRESSURE_KEPT_WITHOUT_REPORTS,
            reports => self.pressure_sum as f32 / reports as f32 / 1_000.0,
        };
        self.pressure_sum = 0;
        self.reports = 0;
    }

    fn update_demand(&mut self, span_ms: u64) {
        let windows = span_ms as f32 / WINDOW_MS as f32;
        let longer = self.request_interval.mean_ms * DEMAND_MEMORY_INTERVALS / DEMAND_MEMORY_MS;
        let memory = DEMAND_MEMORY.powf(windows / longer.max(1.0));
        for (demand, new_demand) in self.demand.iter_mut().zip(&mut self.new_demand) {
            *demand = *demand * memory + *new_demand / windows * (1.0 - memory);
            *new_demand = 0.0;
        }
    }

    /// Moves the admitted demand towards the target pressure.
    fn adjust(&mut self, windows: f32) {
        if self.pressure <= TARGET_PRESSURE && self.admits_all() {
            return;
        }
        let part = 1.0 - (1.0 - ADJUST_PART).powf(windows);
        let factor = (TARGET_PRESSURE / self.pressure.max(0.1)).powf(part);
        let factor = factor.clamp(MIN_FACTOR.powf(windows), MAX_FACTOR.powf(windows));
        let admitted = self.admitted_demand();
        if factor < 1.0 {
            if self.decrease_on_hold {
                self.decrease_on_hold = false;
                return;
            }
            self.decrease_on_hold = factor < HOLD_BELOW;
            self.level = self.level_for_demand(admitted * factor);
            return;
        }
        self.decrease_on_hold = false;
        let total: f32 = self.demand.iter().sum();
        let more = admitted.max(total * MIN_INCREASE_BASE) * (factor - 1.0);
        self.level = self.level_for_demand(admitted + more).max(self.level);
    }

    /// The admitted part of the demand, in requests per window.
    fn admitted_demand(&self) -> f32 {
        let whole = self.level as usize;
        let sum: f32 = self.demand.iter().take(whole).sum();
        let part = self.level - whole as f32;
        sum + self.demand.get(whole).map_or(0.0, |demand| demand * part)
    }

    /// The level that admits up to `max_demand` requests per window.
    fn level_for_demand(&self, max_demand: f32) -> f32 {
        let mut sum = 0.0;
        for (class, demand) in self.demand.iter().enumerate() {
            if sum + demand > max_demand {
                let part = (max_demand - sum) / demand;
                return (class as f32 + part).max(MIN_LEVEL);
            }
            sum += demand;
        }
        all_classes()
    }
}

fn all_classes() -> f32 {
    CLASSES as f32
}

/// The class of a priority, and its position within the class.
fn class_and_part(priority: Priority) -> (usize, f32) {
    let class = usize::from(priority.class()).min(CLASSES - 1);
    (class, f32::from(priority.rank()) / RANKS)
}
