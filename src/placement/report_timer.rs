//! When the next report of changing load figures is due.

use crate::core::TimeMs;
use crate::placement::LoadFigures;

/// A report is due this long after the last one even without a change, in milliseconds. It replaces
/// a lost one, and two of them may be lost before the receiver stops using the figures.
const PERIOD_MS: u64 = 1_500;
/// The least time between two reports, in milliseconds.
pub(super) const MIN_GAP_MS: u64 = 500;
/// A change of a rate by one part in this is reported before the period ends.
const CHANGED_PART: f32 = 10.0;
/// A change of the pressure by this much is reported before the period ends, in thousandths.
const CHANGED_PRESSURE_PERMILLE: u32 = 100;
/// A rate of events that is measured over about 1 s varies by chance with a standard deviation of
/// about its square root. Changes of fewer standard deviations than this are not reported early,
/// because at low rates nearly each of them is chance.
const NOISE_DEVIATIONS: f32 = 2.0;

/// The last report of one sender about one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportTimer {
    last: Option<(TimeMs, LoadFigures)>,
}

impl ReportTimer {
    /// Whether a report of these figures is due.
    pub fn is_due(&self, now: TimeMs, figures: &LoadFigures) -> bool {
        let Some((sent_at, sent)) = &self.last else {
            return true;
        };
        let elapsed_ms = now.since(*sent_at);
        elapsed_ms >= PERIOD_MS || elapsed_ms >= MIN_GAP_MS && has_changed(sent, figures)
    }

    pub fn record_sent(&mut self, now: TimeMs, figures: LoadFigures) {
        self.last = Some((now, figures));
    }
}

fn has_changed(before: &LoadFigures, after: &LoadFigures) -> bool {
    has_rate_changed(before, after, CHANGED_PART)
        || before.pressure_permille.abs_diff(after.pressure_permille) >= CHANGED_PRESSURE_PERMILLE
}

/// Whether the demand or the capacity has changed by one part in `part`, and by more than chance.
pub(super) fn has_rate_changed(before: &LoadFigures, after: &LoadFigures, part: f32) -> bool {
    has_changed_by(before.demand_tenths, after.demand_tenths, part)
        || has_changed_by(before.capacity_tenths, after.capacity_tenths, part)
}

fn has_changed_by(before_tenths: u32, after_tenths: u32, part: f32) -> bool {
    let before = LoadFigures::per_s(before_tenths);
    let after = LoadFigures::per_s(after_tenths);
    let noise = NOISE_DEVIATIONS * before.max(after).sqrt();
    let threshold = (before / part).max(noise);
    before != after && (after - before).abs() >= threshold
}
