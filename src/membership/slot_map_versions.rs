//! The versions of the slot maps that this node holds, whose digest every datagram carries.

use super::digest::entry_digest;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// More services than any deployment has. Further ones are left to the table service.
const MAX_SERVICES: usize = 4_096;
/// Minimum time between two hints about the same service, while the newer map is fetched.
const HINT_PERIOD_MS: u64 = 300;

/// Versions by service, with their combined digest.
#[derive(Clone, Debug, Default)]
pub struct SlotMapVersions {
    versions: FastMap<Name, u64>,
    digest: u32,
    /// When the last hint about a service was given. Bounded like `versions`.
    hinted: FastMap<Name, TimeMs>,
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

    /// Whether a version is newer than the one held and no hint about the service was given within
    /// `HINT_PERIOD_MS`. Records the hint.
    pub fn take_newer(&mut self, service: &Name, version: u64, now: TimeMs) -> bool {
        if self
            .versions
            .get(service)
            .is_some_and(|held| *held >= version)
        {
            return false;
        }
        let hinted = self.hinted.get(service);
        if hinted.is_some_and(|hinted| now.since(*hinted) < HINT_PERIOD_MS) {
            return false;
        }
        if self.hinted.len() >= MAX_SERVICES {
            self.hinted.clear();
        }
        self.hinted.insert(service.clone(), now);
        true
    }

    pub fn digest(&self) -> u32 {
        self.digest
    }
}
