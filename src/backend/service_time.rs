//! How long a call takes in a backend server.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How service times are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Every call takes the same time.
    #[default]
    Fixed,
    /// Memoryless: most calls are short, a few are long.
    Exponential,
}

/// The distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    pub mean_ms: f64,
    #[serde(default)]
    pub distribution: Distribution,
}

impl ServiceTime {
    /// The same time for every call.
    pub fn fixed(mean_ms: f64) -> Self {
        Self {
            mean_ms,
            distribution: Distribution::Fixed,
        }
    }

    /// Exponentially distributed times.
    pub fn exponential(mean_ms: f64) -> Self {
        Self {
            mean_ms,
            distribution: Distribution::Exponential,
        }
    }

    /// Draws a service time, `factor` times as long as usual. `uniform` is in 0.0..1.0.
    pub fn draw(self, uniform: f64, factor: f64) -> Duration {
        let time_ms = match self.distribution {
            Distribution::Fixed => self.mean_ms,
            Distribution::Exponential => -self.mean_ms * (1.0 - uniform).ln(),
        };
        Duration::from_secs_f64((time_ms * factor).max(0.0) / 1_000.0)
    }
}
