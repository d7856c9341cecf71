//! When the next report of changing load figures is due.

use crate::core::TimeMs;
use crate::placement::LoadFigures;

/// A report is due this long after the last one even without a change, in milliseconds. It replaces
/// a lost one, and two of them may be lost before the receiver stops using the figures.
pub(super) const PERIOD_MS: u64 = 1_500;
/// The least time between two reports, in milliseconds.
pub(super) const MIN_GAP_MS: u64 = 500;
/// A change of a rate by one part in this is reported before the period ends.
const CHANGED_PART: f32 = 10.0;
/// A change of the pressure by this much is reported before the period ends, in thousandths.
const CHANGED_PRESSURE_PERMILLE: u32 = 100;
/// A rate of events that is measured over about 1 s varies by chance with a standard deviation of
/// about its square root. Changes of fewer standard deviations than this are not reported early,
/// because at low rates nearly each of them is chance.
const REPORTED_DEVIATIONS: f32 = 2.0;

/// The last report of one sender about one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportTimer {
    last: Option<(TimeMs, LoadFigures)>,
    /// The last report was sent before its period ended, because of a change.
    follows_change: bool,
    /// How much earlier the second report is sent, in milliseconds.
    stagger_ms: u64,
}

impl ReportTimer {
    /// A timer whose second report is sent earlier by this time, of at most a period. Otherwise
    /// nodes that start together would report together ever after, and a coordinator would learn of
    /// a change from none of them or from all.
    pub fn staggered(stagger_ms: u64) -> Self {
        Self {
            stagger_ms,
            ..Self::default()
        }
    }

    /// Whether a report of these figures is due.
    pub fn is_due(&self, now: TimeMs, figures: &LoadFigures) -> bool {
        let Some((sent_at, sent)) = &self.last else {
            return true;
        };
        let elapsed_ms = now.since(*sent_at);
        elapsed_ms >= PERIOD_MS
            || elapsed_ms >= MIN_GAP_MS && has_changed(sent, figures, self.deviations())
    }

    /// A change takes a second to show in smoothed figures, so its first report has only part of it.
    /// The report after it does not wait for as much again.
    fn deviations(&self) -> f32 {
        if self.follows_change {
            0.0
        } else {
            REPORTED_DEVIATIONS
        }
    }

    /// Whether a report may be sent for another reason than its figures.
    pub fn may_send(&self, now: TimeMs) -> bool {
        self.last
            .is_none_or(|(sent_at, _)| now.since(sent_at) >= MIN_GAP_MS)
    }

    /// The demand in the last report; 0 before the first one.
    pub fn last_demand_tenths(&self) -> u32 {
        self.last.map_or(0, |(_, sent)| sent.demand_tenths)
    }

    pub fn record_sent(&mut self, now: TimeMs, figures: LoadFigures) {
        self.follows_change = self
            .last
            .is_some_and(|(_, sent)| has_changed(&sent, &figures, REPORTED_DEVIATIONS));
        let stagger_ms = std::mem::take(&mut self.stagger_ms);
        self.last = Some((now - stagger_ms, figures));
    }
}

fn has_changed(before: &LoadFigures, after: &LoadFigures, deviations: f32) -> bool {
    let by = RateChange {
        part: CHANGED_PART,
        deviations,
    };
    by.is_exceeded(before, after)
        || before.pressure_permille.abs_diff(after.pressure_permille) >= CHANGED_PRESSURE_PERMILLE
}

/// How much a rate has to change.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateChange {
    /// By one part in this.
    pub part: f32,
    /// By this many standard deviations of its chance variation.
    pub deviations: f32,
}

impl RateChange {
    /// Whether the demand or the capacity has changed by at least this much.
    pub fn is_exceeded(self, before: &LoadFigures, after: &LoadFigures) -> bool {
        self.is_exceeded_by(before.demand_tenths, after.demand_tenths)
            || self.is_exceeded_by(before.capacity_tenths, after.capacity_tenths)
    }

    fn is_exceeded_by(self, before_tenths: u32, after_tenths: u32) -> bool {
        let before = LoadFigures::per_s(before_tenths);
        let after = LoadFigures::per_s(after_tenths);
        let noise = self.deviations * before.max(after).sqrt();
        let threshold = (before / self.part).max(noise);
        before != after && (after - before).abs() >= threshold
    }
}
