//! Which callers' requests an entry lets in, so that what is let in fits the tightest service of
//! its whole call tree.

use crate::admission::root_level::RootLevel;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::Priority;
use crate::core::TimeMs;

/// Services whose pressure is followed at most.
const MOST_SERVICES: usize = 256;

/// A service for whose sake an entry refuses callers' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverloadedService {
    pub service: Name,
    /// How hard calls press on it, as answers say.
    pub pressure_permille: u32,
    /// The part of the wanted requests that is let in.
    pub admitted_percent: u32,
}

/// Levels by the service that is pressed.
///
/// Guards against requests that are begun and then fail deep down: with each of a request's calls
/// refused now and then, nearly every request fails, though most of the work for it is done. It
/// holds because a request is refused here, whole and before any work, and the least important
/// first. Each entry steers by the pressure that answers report; all hear the same, so they come to
/// the same level without a word among them.
#[derive(Clone, Debug, Default)]
pub struct RootControl {
    levels: FastMap<Name, RootLevel>,
}

impl RootControl {
    /// Decides about a request that presses on `service`, and counts it as wanted there.
    pub fn may_pass(&mut self, now: TimeMs, service: &Name, priority: Priority) -> bool {
        let level = self.level(now, service);
        level.is_none_or(|level| level.may_pass(now, priority))
    }

    /// Takes in how hard a service is pressed, as an answer said.
    pub fn note(&mut self, now: TimeMs, service: &Name, permille: u32) {
        if let Some(level) = self.level(now, service) {
            level.note(now, permille);
        }
    }

    /// The services for whose sake requests are refused at present.
    pub fn overloaded(&self) -> impl Iterator<Item = OverloadedService> {
        let pressed = self.levels.iter().filter(|(_, level)| !level.is_open());
        pressed.map(|(service, level)| OverloadedService {
            service: service.clone(),
            pressure_permille: level.pressure_permille(),
            admitted_percent: level.admitted_percent(),
        })
    }

    fn level(&mut self, now: TimeMs, service: &Name) -> Option<&mut RootLevel> {
        if !self.levels.contains_key(service) {
            if self.levels.len() >= MOST_SERVICES {
                self.levels.retain(|_, level| !level.is_open());
            }
            if self.levels.len() >= MOST_SERVICES {
                return None;
            }
            self.levels.insert(service.clone(), RootLevel::new(now));
        }
        self.levels.get_mut(service)
    }
}
