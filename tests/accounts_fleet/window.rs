//! What was sent of an account, and by how much its worst window goes beyond the bound.

use sassafrasgap::accounts::Allowance;
use sassafrasgap::accounts::AllowanceBound;
use sassafrasgap::core::TimeMs;

#[derive(Clone, Debug, Default)]
pub struct Sent {
    /// Moments of requests that were let in.
    let_in: Vec<TimeMs>,
    wanted: Vec<TimeMs>,
}

impl Sent {
    pub fn note(&mut self, now: TimeMs, is_let_in: bool) {
        self.wanted.push(now);
        if is_let_in {
            self.let_in.push(now);
        }
    }

    /// Requests let in between two moments.
    pub fn let_in(&self, from: TimeMs, to: TimeMs) -> usize {
        count(&self.let_in, from, to)
    }

    /// Requests that came between two moments.
    pub fn wanted(&self, from: TimeMs, to: TimeMs) -> usize {
        count(&self.wanted, from, to)
    }

    /// The worst window that begins at a request, as a part of the bound.
    pub fn worst_window(&self, allowance: Allowance, bound: AllowanceBound) -> f32 {
        let window_s = bound.window_ms as f32 / 1_000.0;
        let most = (allowance.rate_per_s * window_s + allowance.burst) * (1.0 + bound.overage);
        let most = most + bound.slack;
        let mut worst = 0;
        let mut from = 0;
        for (to, at) in self.let_in.iter().enumerate() {
            while at.since(self.let_in[from]) >= bound.window_ms {
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
