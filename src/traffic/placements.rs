//! The placement of services' calls across failure domains, at one node: used by the entry,
//! exchanged among nodes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::Name;
use crate::core::TimeMs;
use crate::placement::DomainSplit;
use crate::placement::ExchangeStep;
use crate::placement::FirstAttempts;
use crate::placement::KnownFleet;
use crate::placement::LoadExchange;
use crate::placement::LoadMessage;
use crate::placement::LocalLoad;
use crate::placement::LocalTarget;
use crate::placement::PeerLoadMessage;
use crate::placement::PlacementConf;
use crate::placement::PlacementTable;
use crate::placement::ServicePlacement;
use crate::placement::SplitLog;

#[derive(Debug, Default)]
struct KnownPlacements {
    table: PlacementTable,
    log: SplitLog,
}

/// Shared by the entry and the control thread. To rule out deadlocks, no lock is held while another
/// one is taken.
#[derive(Debug)]
pub(super) struct Placements {
    attempts: Mutex<FirstAttempts>,
    known: Mutex<KnownPlacements>,
    exchange: Mutex<LoadExchange>,
}

impl Placements {
    /// Starts without any knowledge.
    pub(super) fn new(node: Name, domain: Name, conf: PlacementConf) -> Self {
        Self {
            attempts: Mutex::default(),
            known: Mutex::default(),
            exchange: Mutex::new(LoadExchange::new(node, domain, conf)),
        }
    }

    /// Changes the configuration.
    pub(super) fn set_conf(&self, conf: PlacementConf) {
        lock(&self.exchange).set_conf(conf);
    }

    /// Counts a first attempt of the entry.
    pub(super) fn record_first_attempt(&self, service: &Name) {
        lock(&self.attempts).record(service);
    }

    /// The placement of a service; see [`PlacementTable::current`].
    pub(super) fn current(&self, now: TimeMs, service: &str) -> Option<Arc<ServicePlacement>> {
        lock(&self.known).table.current(now, service)
    }

    /// All placements that are not too old to be used.
    pub(super) fn all_current(&self, now: TimeMs) -> Vec<(Name, Arc<ServicePlacement>)> {
        lock(&self.known).table.all_current(now).collect()
    }

    /// Performs the work that is due, and returns the messages to send.
    pub(super) fn tick(
        &self,
        now: TimeMs,
        fleet: KnownFleet,
        target: Option<LocalTarget>,
    ) -> Vec<PeerLoadMessage> {
        let attempts = lock(&self.attempts).take();
        let local = LocalLoad { attempts, target };
        let step = lock(&self.exchange).tick(now, fleet, local);
        self.apply(now, step)
    }

    /// Handles a message of another node, and returns the messages to send.
    pub(super) fn handle(
        &self,
        now: TimeMs,
        fleet: KnownFleet,
        from: &Name,
        message: LoadMessage,
    ) -> Vec<PeerLoadMessage> {
        let step = lock(&self.exchange).handle(now, fleet, from, message);
        self.apply(now, step)
    }

    fn apply(&self, now: TimeMs, step: ExchangeStep) -> Vec<PeerLoadMessage> {
        for (service, placement) in step.placements {
            self.set(now, &service, placement);
        }
        step.messages
    }

    /// Replaces the placement of a service, and logs a large change of its split.
    fn set(&self, now: TimeMs, service: &Name, placement: ServicePlacement) {
        // The line is written after the lock is released: entries wait for it on each call.
        if let Some(split) = self.replace(now, service, placement) {
            log::info!("entry: split changed, service={service} {split}");
        }
    }

    /// Replaces the placement of a service, and returns the new split if it is to be logged.
    fn replace(
        &self,
        now: TimeMs,
        service: &Name,
        placement: ServicePlacement,
    ) -> Option<DomainSplit> {
        let mut known = lock(&self.known);
        let is_due = known.log.is_due(now, service, &placement.split);
        let logged = is_due.then(|| placement.split.clone());
        known.table.set(now, service, placement);
        logged
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
