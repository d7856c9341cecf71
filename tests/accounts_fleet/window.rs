//! The requests of an account, and how its worst window compares with the bound.

use sassafrasgap::accounts::Allowance;
use sassafrasgap::accounts::AllowanceBound;
use sassafrasgap::core::TimeMs;

#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    /// When requests were admitted.
    admitted: Vec<TimeMs>,
    wanted: Vec<TimeMs>,
}

impl RequestLog {
    pub fn record(&mut self, now: TimeMs, is_admitted: bool) {
        self.wanted.push(now);
        if is_admitted {
            self.admitted.push(now);
        }
    }

    /// Number of requests admitted from `from` until before `to`.
    pub fn admitted(&self, from: TimeMs, to: TimeMs) -> usize {
        count(&self.admitted, from, to)
    }

    /// Number of requests received from `from` until before `to`.
    pub fn wanted(&self, from: TimeMs, to: TimeMs) -> usize {
        count(&self.wanted, from, to)
    }

    /// The largest number of requests admitted in any window, as a fraction of the bound.
    pub fn worst_window(&self, allowance: Allowance, bound: AllowanceBound) -> f32 {
        let window_s = bound.window_ms as f32 / 1_000.0;
        let most = (allowance.rate_per_s * window_s + allowance.burst) * (1.0 + bound.overage);
        let most = most + bound.slack;
        let mut worst = 0;
        let mut from = 0;
        for (to, at) in self.admitted.iter().enumerate() {
            while at.since(self.admitted[from]) >= bound.window_ms {
                from += 1;
            }
            worst = worst.max(to + 1 - from);
        }
        worst as f32 / most
    }
}

fn count(moments: &[TimeMs], from: TimeMs, to: TimeMs) -> usize {
    moments
        .iter()
        .filter(|at| **at >= from && **at < to)
        .count()
}
