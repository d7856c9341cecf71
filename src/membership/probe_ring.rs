//! The order in which members are probed.

use fastrand::Rng;

use crate::core::Name;

/// Members in random order, each of them once per round.
///
/// With an independent random choice each time, some members would stay unprobed for long. A round
/// bounds the time until a death is detected.
#[derive(Clone, Debug, Default)]
pub struct ProbeRing {
    order: Vec<Name>,
}

impl ProbeRing {
    /// The next member. After all had their turn, a new round starts with the names from `refill`.
    pub fn next(&mut self, rng: &mut Rng, refill: impl FnOnce() -> Vec<Name>) -> Option<Name> {
        if self.order.is_empty() {
            self.order = refill();
            rng.shuffle(&mut self.order);
        }
        self.order.pop()
    }
}
