//! One stretch of a plan, in which calls are offered at a rate that is constant or changes evenly.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// What a phase stands for in the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseRole {
    /// Ordinary load: later phases are compared with it.
    #[default]
    Ordinary,
    /// More than ordinary load, or a fault: recovery is counted from the end of the last one.
    Surge,
    /// After the surge.
    Recovery,
    /// Left out of comparisons, such as the filling of caches and connection pools.
    Warmup,
}

/// A phase of a [`Plan`](crate::load::Plan).
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    pub name: Name,
    #[serde(default)]
    pub role: PhaseRole,
    pub duration_ms: u64,
    /// The rate of whole requests at the start of the phase.
    pub rate_per_s: f64,
    /// The rate at the end of the phase, for a ramp. Without it the rate is constant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end_rate_per_s: Option<f64>,
}

impl Phase {
    /// How many calls the phase offers in sum.
    pub fn call_count(&self) -> u64 {
        let end = self.end_rate_per_s.unwrap_or(self.rate_per_s);
        let mean_per_s = f64::midpoint(self.rate_per_s, end);
        (mean_per_s * self.duration_ms as f64 / 1_000.0).round() as u64
    }

    /// The moment within the phase, in milliseconds, at which `calls` calls have been offered.
    ///
    /// It inverts the integral of the rate, which is linear in time: `a·t + (b − a)·t²/(2·d)`.
    pub fn moment_ms(&self, calls: f64) -> f64 {
        let duration_ms = self.duration_ms as f64;
        let start = self.rate_per_s / 1_000.0;
        let end = self.end_rate_per_s.unwrap_or(self.rate_per_s) / 1_000.0;
        let slope = (end - start) / duration_ms;
        if slope.abs() < f64::EPSILON {
            return (calls / start).clamp(0.0, duration_ms);
        }
        let root = (start * start + 2.0 * slope * calls).max(0.0).sqrt();
        ((root - start) / slope).clamp(0.0, duration_ms)
    }
}
