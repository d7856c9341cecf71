//! The versions of slot maps that this node holds, for the news in each datagram.

use super::digest::entry_digest;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// More services than any deployment has; further ones are left to the table service.
const MAX_SERVICES: usize = 4_096;
/// The least time between two hints about the same service: the newer map is being fetched.
const NEWS_PERIOD_MS: u64 = 300;

/// Versions by service with their combined digest.
#[derive(Clone, Debug, Default)]
pub struct SlotMapVersions {
    versions: FastMap<Name, u64>,
    digest: u32,
    /// When a hint about a service was last given; bounded like `versions`.
    hinted: FastMap<Name, TimeMs>,
}

impl SlotMapVersions {
    /// Takes a version in if it is higher than the one held.
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

    /// Whether a version is newer than the one held, and was not hinted at just now.
    pub fn take_news(&mut self, service: &Name, version: u64, now: TimeMs) -> bool {
        if self
            .versions
            .get(service)
            .is_some_and(|held| *held >= version)
        {
            return false;
        }
        let hinted = self.hinted.get(service);
        if hinted.is_some_and(|hinted| now.since(*hinted) < NEWS_PERIOD_MS) {
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
