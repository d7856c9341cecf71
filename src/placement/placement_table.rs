//! What an entry knows of the placement of each service.

use std::borrow::Cow;
use std::sync::Arc;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::placement::DomainLoad;
use crate::placement::DomainSplit;
use crate::placement::PlacementConf;
use crate::placement::domain_split::domains_above_stay;
use crate::placement::split;

/// A placement older than this is not used, in milliseconds: its coordinator is gone or
/// unreachable, and has missed two reports.
const MAX_AGE_MS: u64 = 4_000;
/// The most services that are kept. Beyond it the least recently used one is evicted.
const MAX_SERVICES: usize = 256;

/// The split of this node's failure domain for one service, and the loads it was computed from.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlacement {
    pub received_at: TimeMs,
    pub split: DomainSplit,
    /// Of all domains, the own one included.
    pub loads: Vec<DomainLoad>,
    /// Computed once, because the pressure of the service depends on it with each response.
    above_stay: Vec<Name>,
}

impl ServicePlacement {
    pub fn new(
        received_at: TimeMs,
        split: DomainSplit,
        loads: Vec<DomainLoad>,
        conf: PlacementConf,
    ) -> Self {
        let above_stay = domains_above_stay(&loads, conf);
        Self {
            received_at,
            split,
            loads,
            above_stay,
        }
    }

    /// The placement after the demand of the own domain has changed by a factor. While the split keeps all
    /// calls, it is not changed: it follows from the demand of the whole domain only, and not from what
    /// chance adds at one entry.
    pub fn at_changed_demand(&self, own_domain: &str, factor: f32, conf: PlacementConf) -> Self {
        if self.split.keeps_all() {
            return self.clone();
        }
        let mut loads = self.loads.clone();
        for own in loads.iter_mut().filter(|load| *load.domain == *own_domain) {
            own.demand_per_s *= factor;
        }
        let split = split(own_domain, &loads, conf);
        Self::new(self.received_at, split, loads, conf)
    }

    /// Whether no call leaves the own domain and no domain's demand is above `stay` of its capacity,
    /// also among the domains that are unreachable.
    pub fn is_within_stay(&self) -> bool {
        self.split.keeps_all() && self.above_stay.is_empty()
    }

    /// Whether the pressure of the service is that of all reachable domains: they have room for the
    /// demand together, but the split sends calls away or the demand of one of them is above `stay`
    /// of its capacity. The own domain is always reachable.
    ///
    /// Without room in all of them the own targets' reports count alone. They are seconds newer than
    /// the loads of other domains, which hide a sudden loss of capacity for that long: in a partition,
    /// entries admitted requests that failed deep in the chain.
    pub fn presses_as_a_whole(&self, own_domain: &str, unreachable: &[Name]) -> bool {
        let mut above = self.above_stay.iter();
        let is_uneven = above
            .any(|domain| **domain == *own_domain || !unreachable.contains(domain))
            || self.sending_split(unreachable).is_some();
        is_uneven && self.has_room(own_domain, unreachable)
    }

    fn has_room(&self, own_domain: &str, unreachable: &[Name]) -> bool {
        let reachable = self
            .loads
            .iter()
            .filter(|load| *load.domain == *own_domain || !unreachable.contains(&load.domain));
        let (demand, capacity) = reachable.fold((0.0, 0.0), |(demand, capacity), load| {
            (demand + load.demand_per_s, capacity + load.capacity_per_s)
        });
        demand < capacity
    }

    /// The split without the `unreachable` domains; `None` if then no call leaves the own domain.
    pub fn sending_split(&self, unreachable: &[Name]) -> Option<Cow<'_, DomainSplit>> {
        if self.split.keeps_all() {
            return None;
        }
        let reachable = self.split.without(unreachable);
        (!reachable.keeps_all()).then_some(reachable)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    placement: Arc<ServicePlacement>,
    used_at: TimeMs,
}

impl Entry {
    fn is_current(&self, now: TimeMs) -> bool {
        now.since(self.placement.received_at) <= MAX_AGE_MS
    }
}

/// The latest placement of each service that this node's entry calls.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    services: FastMap<Name, Entry>,
}

impl PlacementTable {
    /// Replaces the placement of a service.
    pub fn set(&mut self, now: TimeMs, service: &Name, placement: ServicePlacement) {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(service) {
            self.evict_least_recently_used();
        }
        let entry = Entry {
            placement: Arc::new(placement),
            used_at: now,
        };
        self.services.insert(service.clone(), entry);
    }

    /// The placement of a service; `None` if there is none or it is too old to be used.
    pub fn current(&mut self, now: TimeMs, service: &str) -> Option<Arc<ServicePlacement>> {
        let entry = self.services.get_mut(service)?;
        entry.used_at = now;
        entry.is_current(now).then(|| entry.placement.clone())
    }

    /// All placements that are not too old to be used. This does not count as a use.
    pub fn all_current(
        &self,
        now: TimeMs,
    ) -> impl Iterator<Item = (Name, Arc<ServicePlacement>)> + '_ {
        let current = self
            .services
            .iter()
            .filter(move |(_, entry)| entry.is_current(now));
        current.map(|(service, entry)| (service.clone(), entry.placement.clone()))
    }

    fn evict_least_recently_used(&mut self) {
        let oldest = self.services.iter().min_by_key(|(_, entry)| entry.used_at);
        if let Some(service) = oldest.map(|(service, _)| service.clone()) {
            self.services.remove(&service);
        }
    }
}
