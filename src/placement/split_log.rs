//! Which changes of a split are worth a log line.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::placement::DomainSplit;

/// A split is logged when a share has changed by this much since the last line.
const MIN_CHANGE_PERMILLE: u16 = 100;
/// The shortest time between two lines of one service, in milliseconds.
const MIN_INTERVAL_MS: u64 = 1_000;
/// The most services that are tracked. Beyond it the one logged longest ago is evicted.
const MAX_SERVICES: usize = 256;

/// The split of each service as it was last logged.
#[derive(Clone, Debug, Default)]
pub struct SplitLog {
    logged: FastMap<Name, (TimeMs, DomainSplit)>,
}

impl SplitLog {
    /// Whether the split of a service is to be logged now. If so, it is recorded as logged.
    pub fn is_due(&mut self, now: TimeMs, service: &Name, split: &DomainSplit) -> bool {
        let is_due = match self.logged.get(service) {
            Some((logged_at, logged)) => {
                now.since(*logged_at) >= MIN_INTERVAL_MS
                    && logged.change_permille(split) >= MIN_CHANGE_PERMILLE
            }
            None => DomainSplit::all_kept().change_permille(split) >= MIN_CHANGE_PERMILLE,
        };
        if !is_due {
            return false;
        }
        if self.logged.len() >= MAX_SERVICES && !self.logged.contains_key(service) {
            self.evict_oldest();
        }
        self.logged.insert(service.clone(), (now, split.clone()));
        true
    }

    fn evict_oldest(&mut self) {
        let oldest = self.logged.iter().min_by_key(|(_, (at, _))| *at);
        if let Some(service) = oldest.map(|(service, _)| service.clone()) {
            self.logged.remove(&service);
        }
    }
}
