//! In which order members are probed.

use fastrand::Rng;

use crate::core::Name;

/// Members in a random order, each once before any comes again.
///
/// A random choice each time would leave some members unprobed for long; a ring bounds the time
/// until a death is noticed.
#[derive(Clone, Debug, Default)]
pub struct ProbeRing {
    order: Vec<Name>,
}

impl ProbeRing {
    /// The next member; when all had their turn, a new round starts with what `refill` lists.
    pub fn next(&mut self, rng: &mut Rng, refill: impl FnOnce() -> Vec<Name>) -> Option<Name> {
        if self.order.is_empty() {
            self.order = refill();
            rng.shuffle(&mut self.order);
        }
        self.order.pop()
    }
}
