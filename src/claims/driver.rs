//! Connects the lease manager, which does no I/O, to the platform's table, the peers and the clock.
//! The driver runs on the control thread. The I/O for leases and transfers is done only here and in
//! the modules `slot_table` and `member_calls`.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use futures::FutureExt;
use futures::future::ready;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::claims::Action;
use crate::claims::Identity;
use crate::claims::LeaseConf;
use crate::claims::LeaseManager;
use crate::claims::Ledger;
use crate::claims::LedgerBounds;
use crate::claims::LedgerTransfer;
use crate::claims::NodeConditions;
use crate::claims::PauseDetector;
use crate::claims::ResendLimits;
use crate::claims::SharedLedger;
use crate::claims::SlotMap;
use crate::claims::TransferTarget;
use crate::claims::WindowTracker;
use crate::claims::member_calls::ask_promise;
use crate::claims::member_calls::send_transfer;
use crate::claims::slot_table::read_row;
use crate::claims::slot_table::write_row;
use crate::control::ControlHandlers;
use crate::control::PeerClients;
use crate::control::Promise;
use crate::control::PromiseRequest;
use crate::core::Clock;
use crate::core::FastSet;
use crate::core::Name;
use crate::core::Published;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::core::View;
use crate::table_service::PlatformClient;

/// Interval between two ticks of the lease manager.
const TICK: Duration = Duration::from_millis(100);
/// Polling interval in which a planned stop checks whether all slots are handed over.
const LEAVE_POLL: Duration = Duration::from_millis(20);

/// Settings of a node's claims: its identity, its lease durations and the bounds of its ledger.
#[derive(Clone, Debug)]
pub struct ClaimsSettings {
    pub node: Name,
    pub region: Name,
    /// See [`crate::claims::boot_fingerprint`]. The node's addresses have to be bound before it is
    /// computed.
    pub boot: u64,
    pub lease: LeaseConf,
    pub bounds: LedgerBounds,
}

/// The present state of the local backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalService {
    pub service: Name,
    /// The backend server accepts work.
    pub serving: bool,
    /// The backend server announced that it accepts no more work.
    pub draining: bool,
}

/// Interfaces to the rest of the node that the driver uses.
pub struct ClaimsPorts {
    pub platform: PlatformClient,
    pub clients: Arc<PeerClients>,
    pub view: Arc<Published<View>>,
    /// Returns `None` until the backend server has announced itself.
    pub local: Box<dyn Fn() -> Option<LocalService> + Send + Sync>,
    /// Returns the resend window of the preset in force, or `None` until a preset is known.
    pub window_ms: Box<dyn Fn() -> Option<u64> + Send + Sync>,
}

/// The lease manager together with the ledger that it updates.
struct ActiveClaims {
    manager: LeaseManager,
    ledger: Arc<SharedLedger>,
    window: WindowTracker,
    service: Name,
    instance: u64,
}

/// The claims of one node: its slots, its lease and its ledger. They are created before the control
/// thread starts, run on it, and are read by the traffic threads.
pub struct Claims {
    settings: ClaimsSettings,
    clock: Clock,
    /// Updated by the driver at each tick and read by entries.
    pub pauses: PauseDetector,
    ledger: ArcSwapOption<SharedLedger>,
    active: Mutex<Option<ActiveClaims>>,
    stopping: AtomicBool,
}

impl Claims {
    /// Claims that hold no slots.
    pub fn new(settings: ClaimsSettings, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            settings,
            clock,
            pauses: PauseDetector::default(),
            ledger: ArcSwapOption::empty(),
            active: Mutex::new(None),
            stopping: AtomicBool::new(false),
        })
    }

    /// Claims with a ledger whose slot lease is set by the caller, for nodes without a control
    /// thread.
    pub fn with_ledger(
        settings: ClaimsSettings,
        clock: Clock,
        ledger: Arc<SharedLedger>,
    ) -> Arc<Self> {
        let claims = Self::new(settings, clock);
        claims.ledger.store(Some(ledger));
        claims
    }

    /// The ledger, or `None` until the backend server has announced itself and a preset is known.
    pub fn ledger(&self) -> Option<Arc<SharedLedger>> {
        self.ledger.load_full()
    }

    /// Whether a keyed request that an entry has just read may have arrived before a pause of this
    /// process.
    pub fn may_predate_pause(&self, now: TimeMs) -> bool {
        let limits = self
            .ledger()
            .map(|ledger| ledger.with(|ledger, _| ledger.limits()));
        let max_undetected_ms = limits.map_or(PauseDetector::DEFAULT_PAUSE_MS, |it| {
            it.max_undetected_pause_ms()
        });
        self.pauses.may_predate_pause(now, max_undetected_ms)
    }

    /// Registers the handlers for promise requests and ledger transfers of peers.
    pub fn attach(self: &Arc<Self>, handlers: &mut ControlHandlers) {
        let claims = self.clone();
        handlers.promise = Arc::new(move |ask| claims.promise(&ask));
        let claims = self.clone();
        handlers.hand_over = Arc::new(move |bytes| {
            let taken = claims.receive_transfer(&bytes);
            ready(taken).boxed()
        });
    }

    /// Runs until the task is dropped. Spawn it on the control thread's runtime.
    pub async fn run(self: Arc<Self>, ports: ClaimsPorts) {
        let ports = Arc::new(ports);
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = self.clock.now();
            let limits = self.ledger().map(|it| it.with(|ledger, _| ledger.limits()));
            let max_undetected_ms = limits.map_or(PauseDetector::DEFAULT_PAUSE_MS, |it| {
                it.max_undetected_pause_ms()
            });
            self.pauses.record_tick(now, max_undetected_ms);
            self.tick(&ports);
        }
    }

    /// Hands over all slots before a planned stop. Gives up after `wait_ms`, for example when the
    /// table is down. Other members take over the remaining slots after the lease expires.
    pub async fn leave(&self, wait_ms: u64) {
        self.stopping.store(true, Ordering::Release);
        let started_at = self.clock.now();
        while self.clock.now().since(started_at) < wait_ms && !self.has_left() {
            sleep(LEAVE_POLL).await;
        }
        log::info!("claims: left complete={}", self.has_left());
    }

    fn has_left(&self) -> bool {
        self.lock()
            .as_ref()
            .is_none_or(|active| active.manager.has_left())
    }

    fn lock(&self) -> MutexGuard<'_, Option<ActiveClaims>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick(self: &Arc<Self>, ports: &Arc<ClaimsPorts>) {
        let (Some(local), Some(window_ms)) = ((ports.local)(), (ports.window_ms)()) else {
            return;
        };
        self.start_once(&local.service, window_ms);
        let conditions = self.conditions(&local, &ports.view.load());
        let updates = self.update_window(window_ms);
        self.with_manager(ports, |manager, now| manager.tick(now, conditions));
        for (node, transfer) in updates {
            self.send_key_update(ports, &node, transfer);
        }
    }

    fn start_once(&self, service: &Name, window_ms: u64) {
        let mut active = self.lock();
        if active.is_some() {
            return;
        }
        let now = self.clock.now();
        let window = WindowTracker::new(now, window_ms);
        let limits = ResendLimits::new(window_ms);
        let settings = &self.settings;
        let instance = fastrand::u64(1..);
        let me = Identity {
            node: settings.node.clone(),
            region: settings.region.clone(),
            service: service.clone(),
            instance,
            boot: settings.boot,
        };
        let ledger = Ledger::new(service.clone(), instance, settings.bounds, limits);
        let ledger = SharedLedger::new(self.clock, ledger);
        self.ledger.store(Some(ledger.clone()));
        let rng = fastrand::Rng::new();
        *active = Some(ActiveClaims {
            manager: LeaseManager::new(me, settings.lease, limits, rng),
            ledger,
            window,
            service: service.clone(),
            instance,
        });
        log::info!("claims: started service={service} instance={instance:x}");
    }

    fn conditions(&self, local: &LocalService, view: &View) -> NodeConditions {
        let is_gone = |state| matches!(state, TargetState::Dead | TargetState::Left);
        let targets = view.targets(&local.service).iter();
        // Nodes in an unreachable failure domain count as gone, because calls cannot reach them
        // from here. If such an owner still reads the row, it removes the intents that others
        // announce against it.
        let mut alive: FastSet<Name> = targets
            .filter(|target| !is_gone(target.state))
            .filter(|target| !view.cut_off_domains.contains(&target.domain))
            .map(|target| target.node.clone())
            .collect();
        alive.insert(self.settings.node.clone());
        NodeConditions {
            serving: local.serving,
            draining: local.draining,
            stopping: self.stopping.load(Ordering::Acquire),
            alive,
        }
    }

    fn update_window(&self, window_ms: u64) -> Vec<(Name, LedgerTransfer)> {
        let mut active = self.lock();
        let Some(active) = active.as_mut() else {
            return Vec::new();
        };
        let limits = active.window.update(self.clock.now(), window_ms);
        active.manager.set_limits(limits);
        active.ledger.with(|ledger, now| {
            ledger.set_limits(limits);
            ledger.sweep(now);
            ledger.take_key_updates()
        })
    }

    /// Runs `work` on the manager, passes the resulting slot lease to the ledger, and only then
    /// executes the actions. In another order the ledger could start keys in slots that an action
    /// gives away.
    fn with_manager(
        self: &Arc<Self>,
        ports: &Arc<ClaimsPorts>,
        work: impl FnOnce(&mut LeaseManager, TimeMs) -> Vec<Action>,
    ) {
        let mut guard = self.lock();
        let Some(active) = guard.as_mut() else {
            return;
        };
        let before = active.manager.slot_lease().count();
        let actions = work(&mut active.manager, self.clock.now());
        let slot_lease = active.manager.slot_lease().clone();
        if slot_lease.count() != before {
            log::info!("claims: slots held={} before={before}", slot_lease.count());
        }
        active
            .ledger
            .with(|ledger, _| ledger.set_slot_lease(slot_lease));
        for action in actions {
            self.execute(ports, active, action);
        }
    }

    fn execute(self: &Arc<Self>, ports: &Arc<ClaimsPorts>, active: &ActiveClaims, action: Action) {
        let claims = self.clone();
        let ports = ports.clone();
        match action {
            Action::ReadRow { op } => {
                let row = SlotMap::row_name(&active.service);
                tokio::spawn(async move {
                    let result = read_row(&ports.platform, &row).await;
                    claims.with_manager(&ports, |manager, now| manager.on_read(now, op, result));
                });
            }
            Action::WriteRow { op, expected, map } => {
                let row = SlotMap::row_name(&active.service);
                tokio::spawn(async move {
                    let result = write_row(&ports.platform, &row, expected, &map).await;
                    log::debug!("claims: row write finished result={result:?}");
                    claims.with_manager(&ports, |manager, now| manager.on_write(now, op, result));
                });
            }
            Action::AskPromise {
                round,
                node,
                member,
            } => {
                let ask = PromiseRequest {
                    service: active.service.clone(),
                    owner: active.instance,
                    member,
                };
                tokio::spawn(async move {
                    let promise = ask_promise(&ports, &node, ask).await;
                    claims.with_manager(&ports, |manager, now| {
                        manager.on_promise(now, round, member, &promise);
                        Vec::new()
                    });
                });
            }
            Action::HandOver {
                transfer,
                node,
                member,
                slots,
            } => {
                let to = TransferTarget {
                    node: node.clone(),
                    instance: member,
                    transfer,
                };
                let ledger = active
                    .ledger
                    .with(|ledger, now| ledger.export_slots(now, &slots, &to));
                log::info!("claims: handing over slots={} to={node}", slots.len());
                tokio::spawn(async move {
                    let confirmed = send_transfer(&ports, &node, &ledger).await;
                    claims.with_manager(&ports, |manager, now| {
                        manager.on_handed_over(now, transfer, confirmed)
                    });
                });
            }
        }
    }

    /// Sends a key update once, without a retry. If it is lost, the run state of the key stays
    /// unknown at the new owner.
    fn send_key_update(&self, ports: &Arc<ClaimsPorts>, node: &Name, transfer: LedgerTransfer) {
        let ports = ports.clone();
        let node = node.clone();
        tokio::spawn(async move { send_transfer(&ports, &node, &transfer).await });
    }

    fn promise(&self, ask: &PromiseRequest) -> Promise {
        let mut guard = self.lock();
        match guard.as_mut() {
            Some(active) if active.service == ask.service => {
                active.manager.on_promise_request(self.clock.now(), ask)
            }
            _ => Promise::Refused,
        }
    }

    fn receive_transfer(&self, bytes: &[u8]) -> bool {
        let transfer = match LedgerTransfer::decode(bytes) {
            Ok(transfer) => transfer,
            Err(error) => {
                log::warn!("claims: transfer cannot be decoded error={error}");
                return false;
            }
        };
        let mut guard = self.lock();
        let Some(active) = guard.as_mut() else {
            return false;
        };
        if transfer.to != active.instance || transfer.service != active.service {
            return false;
        }
        let slots = transfer.slots.len();
        let keys = transfer.keys.len();
        let taken = active
            .ledger
            .with(|ledger, now| ledger.receive(now, transfer.clone()));
        if taken {
            active.manager.on_received(self.clock.now(), &transfer);
        }
        log::debug!("claims: transfer received slots={slots} keys={keys} taken={taken}");
        taken
    }
}
