//! One process of a node, with its lease manager, its ledger and its own clock.

use sassafrasgap::claims::Action;
use sassafrasgap::claims::Identity;
use sassafrasgap::claims::LeaseConf;
use sassafrasgap::claims::LeaseManager;
use sassafrasgap::claims::Ledger;
use sassafrasgap::claims::LedgerBounds;
use sassafrasgap::claims::ResendLimits;
use sassafrasgap::core::FastSet;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;

pub struct Process {
    pub node: Name,
    pub domain: usize,
    pub instance: u64,
    pub boot: u64,
    pub manager: LeaseManager,
    pub ledger: Ledger,
    pub is_dead: bool,
    pub paused_until: u64,
    pub serving: bool,
    pub stopping: bool,
    /// Alive, but cut off from everything except callers.
    pub is_isolated: bool,
    /// The nodes that it considers alive; updated while it runs.
    pub alive: FastSet<Name>,
    started_at: u64,
    /// Speed of its clock in thousandths of true time.
    rate_permille: u64,
}

impl Process {
    pub fn new(
        node: Name,
        domain: usize,
        boot: u64,
        conf: LeaseConf,
        limits: ResendLimits,
        now: u64,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let instance = rng.u64(1..);
        let me = Identity {
            node: node.clone(),
            region: Name::from("region"),
            service: Name::from("jobs"),
            instance,
            boot,
        };
        let bounds = LedgerBounds {
            max_keys: 500,
            max_answer_bytes: 10_000,
        };
        let manager_rng = fastrand::Rng::with_seed(rng.u64(..));
        Self {
            node,
            domain,
            instance,
            boot,
            manager: LeaseManager::new(me.clone(), conf, limits, manager_rng),
            ledger: Ledger::new(me.service, instance, bounds, limits),
            is_dead: false,
            paused_until: 0,
            serving: true,
            stopping: false,
            is_isolated: false,
            alive: FastSet::default(),
            started_at: now,
            rate_permille: rng.u64(990..=1010),
        }
    }

    /// The time on its own clock at a moment of true time.
    pub fn clock(&self, now: u64) -> TimeMs {
        TimeMs(1 + (now - self.started_at) * self.rate_permille / 1_000)
    }

    /// Runs `work` on the manager, and passes the slot lease to the ledger before any action is
    /// executed.
    pub fn with_manager(
        &mut self,
        work: impl FnOnce(&mut LeaseManager) -> Vec<Action>,
    ) -> Vec<Action> {
        let actions = work(&mut self.manager);
        self.ledger
            .set_slot_lease(self.manager.slot_lease().clone());
        actions
    }

    /// Whether an unseen key of the slot could start now if no grace period applied.
    pub fn could_start(&self, slot: usize, now: u64) -> bool {
        let slot_lease = self.ledger.slot_lease();
        let open = slot_lease.held[slot].is_some_and(|held| !held.handing_over);
        !self.is_dead && open && self.clock(now) < slot_lease.lease_until
    }
}
