//! The versions of the slot maps that this node holds, whose digest every datagram carries.

use super::digest::entry_digest;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// More services than any deployment has. Versions of further ones are not spread by gossip. Their
/// slot maps are left to the platform's table service.
const MAX_SERVICES: usize = 4_096;
/// Minimum time between two reports of a newer slot map of the same service, during which the map
/// is fetched.
const REPORT_PERIOD_MS: u64 = 300;

/// Versions by service, with their combined digest.
#[derive(Clone, Debug, Default)]
pub struct SlotMapVersions {
    versions: FastMap<Name, u64>,
    digest: u32,
    /// When a newer slot map of a service was last reported. Bounded like `versions`.
    reported: FastMap<Name, TimeMs>,
}

impl SlotMapVersions {
    /// Stores a version if it is higher than the one held. Returns whether it was stored.
    pub fn raise(&mut self, service: &Name, version: u64) -> bool {
        let held = self.versions.get(service).copied();
        let is_full = self.versions.len() >= MAX_SERVICES;
        if held.is_some_and(|held| held >= version) || (held.is_none() && is_full) {
            return false;
        }
        if let Some(held) = held {
            self.digest ^= entry_digest(service, held);
        }
        self.digest ^= entry_digest(service, version);
        self.versions.insert(service.clone(), version);
        true
    }

    /// Whether a version is newer than the one held and none of the service was reported within
    /// [`REPORT_PERIOD_MS`]. Records the report.
    pub fn should_report(&mut self, service: &Name, version: u64, now: TimeMs) -> bool {
        if self
            .versions
            .get(service)
            .is_some_and(|held| *held >= version)
        {
            return false;
        }
        let reported = self.reported.get(service);
        if reported.is_some_and(|reported| now.since(*reported) < REPORT_PERIOD_MS) {
            return false;
        }
        if self.reported.len() >= MAX_SERVICES {
            self.reported.clear();
        }
        self.reported.insert(service.clone(), now);
        true
    }

    pub fn digest(&self) -> u32 {
        self.digest
    }
}
