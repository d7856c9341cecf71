//! The placement of services' calls across failure domains, at one node: used by the entry,
//! exchanged among nodes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::Name;
use crate::core::TimeMs;
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

/// Shared by the entry and the control thread. To rule out deadlocks, no lock is held while another
/// one is taken.
#[derive(Debug)]
pub(super) struct Placements {
    attempts: Mutex<FirstAttempts>,
    table: Mutex<PlacementTable>,
    exchange: Mutex<LoadExchange>,
}

impl Placements {
    /// Starts without any knowledge.
    pub(super) fn new(node: Name, domain: Name, conf: PlacementConf) -> Self {
        Self {
            attempts: Mutex::default(),
            table: Mutex::default(),
            exchange: Mutex::new(LoadExchange::new(node, domain, conf)),
        }
    }

    /// Changes the configuration.
    pub(super) fn set_conf(&self, conf: PlacementConf) {
        self.exchange().set_conf(conf);
    }

    /// Counts a first attempt of the entry.
    pub(super) fn record_first_attempt(&self, service: &Name) {
        lock(&self.attempts).record(service);
    }

    /// The placement of a service; see [`PlacementTable::current`].
    #[allow(dead_code)] // Used once the entry draws a domain by the split.
    pub(super) fn current(&self, now: TimeMs, service: &str) -> Option<Arc<ServicePlacement>> {
        lock(&self.table).current(now, service)
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
        let step = self.exchange().tick(now, fleet, local);
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
        let step = self.exchange().handle(now, fleet, from, message);
        self.apply(now, step)
    }

    fn apply(&self, now: TimeMs, step: ExchangeStep) -> Vec<PeerLoadMessage> {
        if !step.placements.is_empty() {
            let mut table = lock(&self.table);
            for (service, placement) in step.placements {
                table.set(now, &service, placement);
            }
        }
        step.messages
    }

    fn exchange(&self) -> MutexGuard<'_, LoadExchange> {
        lock(&self.exchange)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
