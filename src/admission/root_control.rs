//! Which callers' requests an entry admits, so that the admitted load fits the most overloaded
//! service of the whole call tree.

use crate::admission::root_level::RootLevel;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::Priority;
use crate::core::TimeMs;

/// The most services whose pressure is tracked.
const MAX_SERVICES: usize = 256;

/// A service on whose behalf an entry refuses callers' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverloadedService {
    pub service: Name,
    /// The pressure on the service, as reported on answers.
    pub pressure_permille: u32,
    /// The percentage of the offered requests that is admitted.
    pub admitted_percent: u32,
}

/// Admission levels of root requests by overloaded service.
///
/// Guards against requests that fail deep in the chain after most of their work is done. If single
/// calls of a request are refused at random, nearly every request fails. Requests are therefore
/// refused here as a whole, before any work is done, the least important first. Each entry adjusts
/// its levels to the pressure reported on answers. All entries see the same pressure, so they reach
/// the same level without messages between them.
#[derive(Clone, Debug, Default)]
pub struct RootControl {
    levels: FastMap<Name, RootLevel>,
}

impl RootControl {
    /// Decides about a request that loads `service`, and counts it in the demand for it.
    pub fn may_pass(&mut self, now: TimeMs, service: &Name, priority: Priority) -> bool {
        let level = self.level(now, service);
        level.is_none_or(|level| level.may_pass(now, priority))
    }

    /// Records the pressure on a service, as reported on an answer.
    pub fn record(&mut self, now: TimeMs, service: &Name, permille: u32) {
        if let Some(level) = self.level(now, service) {
            level.record(now, permille);
        }
    }

    /// The services on whose behalf requests are refused at present.
    pub fn overloaded(&self) -> impl Iterator<Item = OverloadedService> {
        let overloaded = self.levels.iter().filter(|(_, level)| !level.admits_all());
        overloaded.map(|(service, level)| OverloadedService {
            service: service.clone(),
            pressure_permille: level.pressure_permille(),
            admitted_percent: level.admitted_percent(),
        })
    }

    fn level(&mut self, now: TimeMs, service: &Name) -> Option<&mut RootLevel> {
        if !self.levels.contains_key(service) {
            if self.levels.len() >= MAX_SERVICES {
                self.levels.retain(|_, level| !level.admits_all());
            }
            if self.levels.len() >= MAX_SERVICES {
                return None;
            }
            self.levels.insert(service.clone(), RootLevel::new(now));
        }
        self.levels.get_mut(service)
    }
}
