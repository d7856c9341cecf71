//! Recovery time: from the end of the surge until goodput and latency are ordinary again.

use serde::Deserialize;
use serde::Serialize;

use crate::load::CallRecord;
use crate::load::PhaseRole;
use crate::load::PhaseSpan;
use crate::load::class_figures::per_second;
use crate::load::latencies::quantile_ms;
use crate::load::timeline::STEP_MS;

/// For how long goodput and latency must hold.
const HOLD_MS: u64 = 1_000;
/// The least share of ordinary goodput.
const GOODPUT_SHARE: f64 = 0.95;
/// The most that the 99th percentile may be, in multiples of the ordinary one.
const P99_MULTIPLE: f64 = 2.0;

/// How a run came back to normal after its last surge.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Recovery {
    pub ordinary_goodput_per_s: f64,
    pub ordinary_p99_ms: f64,
    /// From the end of the surge to the first moment from which 95% of the ordinary goodput and
    /// twice the ordinary p99 hold for 1 s. Nothing when it never came.
    pub recovery_ms: Option<u64>,
    /// Windows of 1 s, in steps of 100 ms, that fell out again after that moment.
    pub relapsed_windows: u64,
    pub windows: u64,
}

impl Recovery {
    /// Works out the recovery after the last surge, or nothing for a run without ordinary load
    /// before a surge and load after it.
    pub fn of(records: &[CallRecord], phases: &[PhaseSpan]) -> Option<Self> {
        let last_surge = phases
            .iter()
            .rposition(|phase| phase.role == PhaseRole::Surge)?;
        let surge_end_ms = phases[last_surge].end_ms;
        let ordinary: Vec<&PhaseSpan> = phases[..last_surge]
            .iter()
            .filter(|phase| phase.role == PhaseRole::Ordinary)
            .collect();
        let run_end_ms = phases.last()?.end_ms;
        if ordinary.is_empty() || run_end_ms < surge_end_ms + HOLD_MS {
            return None;
        }
        let mut recovery = Self::ordinary(records, &ordinary);
        recovery.count_windows(records, surge_end_ms, run_end_ms);
        Some(recovery)
    }

    fn ordinary(records: &[CallRecord], phases: &[&PhaseSpan]) -> Self {
        let good: Vec<u64> = records
            .iter()
            .filter(|record| record.is_good())
            .filter(|record| phases.iter().any(|phase| phase.contains(record.at_ms)))
            .map(|record| record.latency_us)
            .collect();
        let duration_ms = phases.iter().map(|phase| phase.duration_ms()).sum();
        Self {
            ordinary_goodput_per_s: per_second(good.len() as u64, duration_ms),
            ordinary_p99_ms: quantile_ms(&good, 0.99),
            recovery_ms: None,
            relapsed_windows: 0,
            windows: 0,
        }
    }

    fn count_windows(&mut self, records: &[CallRecord], from_ms: u64, to_ms: u64) {
        let mut start_ms = from_ms;
        while start_ms + HOLD_MS <= to_ms {
            let holds = self.holds(records, start_ms);
            if holds && self.recovery_ms.is_none() {
                self.recovery_ms = Some(start_ms - from_ms);
            }
            if self.recovery_ms.is_some() {
                self.windows += 1;
                self.relapsed_windows += u64::from(!holds);
            }
            start_ms += STEP_MS;
        }
    }

    fn holds(&self, records: &[CallRecord], start_ms: u64) -> bool {
        let window = start_ms..start_ms + HOLD_MS;
        let good: Vec<u64> = records
            .iter()
            .filter(|record| window.contains(&record.at_ms) && record.is_good())
            .map(|record| record.latency_us)
            .collect();
        let goodput_per_s = per_second(good.len() as u64, HOLD_MS);
        goodput_per_s >= GOODPUT_SHARE * self.ordinary_goodput_per_s
            && quantile_ms(&good, 0.99) <= P99_MULTIPLE * self.ordinary_p99_ms
    }
}
