//! How often one event may be told.

use crate::core::FastMap;
use crate::core::TimeMs;

/// Lines of one event in a second, on average. A person reads a handful; the rest is in the counters.
const PER_SECOND: f64 = 5.0;
/// Lines of one event that may follow each other at once: what begins a trouble is told whole.
const BURST: f64 = 50.0;
/// Events told apart; beyond it all are forgotten, and each may be told anew.
const MOST_EVENTS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Allowance {
    left: f64,
    at: TimeMs,
}

/// A bound on lines by event.
///
/// Guards against a log that costs more than the requests it tells of: in an overload thousands are
/// refused a second, each for the same reason. Pure: the time goes in.
#[derive(Clone, Debug, Default)]
pub struct EventRate {
    events: FastMap<String, Allowance>,
    left_out: u64,
}

impl EventRate {
    /// Whether a line of this event may be written now.
    pub fn admits(&mut self, now: TimeMs, event: &str) -> bool {
        if self.events.len() >= MOST_EVENTS && !self.events.contains_key(event) {
            self.events.clear();
        }
        if !self.events.contains_key(event) {
            let full = Allowance {
                left: BURST,
                at: now,
            };
            self.events.insert(event.to_owned(), full);
        }
        let Some(allowance) = self.events.get_mut(event) else {
            return true;
        };
        let gained = now.since(allowance.at) as f64 / 1_000.0 * PER_SECOND;
        allowance.left = (allowance.left + gained).min(BURST);
        allowance.at = now;
        if allowance.left < 1.0 {
            self.left_out += 1;
            return false;
        }
        allowance.left -= 1.0;
        true
    }

    /// How many lines were left out since this was last asked.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
