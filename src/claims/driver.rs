//! Lets the lease manager act: the only part of `claims` that meets the outside. It runs on the
//! control thread and drives the pure manager with the table, the peers and the clock.

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
use crate::claims::TransferTarget;
use crate::claims::PauseDetector;
use crate::claims::ResendLimits;
use crate::claims::SharedLedger;
use crate::claims::NodeConditions;
use crate::claims::SlotMap;
use crate::claims::WindowTracker;
use crate::claims::member_calls::ask_promise;
use crate::claims::member_calls::send_transfer;
use crate::claims::slot_table::read_row;
use crate::claims::slot_table::write_row;
use crate::control::ControlHandlers;
use crate::control::PeerClients;
use crate::control::Promise;
use crate::control::PromiseAsk;
use crate::core::Clock;
use crate::core::FastSet;
use crate::core::Name;
use crate::core::Published;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::core::View;
use crate::table_service::PlatformClient;

/// How often the manager looks at the time.
const TICK: Duration = Duration::from_millis(100);
/// How often a planned stop looks whether everything is handed over.
const LEAVE_POLL: Duration = Duration::from_millis(20);

/// Who the node is, for its claims.
#[derive(Clone, Debug)]
pub struct ClaimsSettings {
    pub node: Name,
    pub region: Name,
    /// See [`crate::claims::boot_fingerprint`]. The node's addresses have to be bound before it is used.
    pub boot: u64,
    pub lease: LeaseConf,
    pub bounds: LedgerBounds,
}

/// What the local backend server is at the moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalService {
    pub service: Name,
    /// It takes work.
    pub serving: bool,
    /// It said itself that it takes no more.
    pub draining: bool,
}

/// What the driver needs of the rest of the node.
pub struct ClaimsPorts {
    pub platform: PlatformClient,
    pub clients: Arc<PeerClients>,
    pub view: Arc<Published<View>>,
    /// `None` until the backend server announced itself.
    pub local: Box<dyn Fn() -> Option<LocalService> + Send + Sync>,
    /// The resend window of the preset in force, `None` until one is known.
    pub window_ms: Box<dyn Fn() -> Option<u64> + Send + Sync>,
}

/// The manager together with the ledger that follows it.
struct Kept {
    manager: LeaseManager,
    ledger: Arc<SharedLedger>,
    window: WindowTracker,
    service: Name,
    instance: u64,
}

/// The claims of one node: made before the control thread starts, run on it, read by traffic.
pub struct Claims {
    settings: ClaimsSettings,
    clock: Clock,
    /// Noted by the driver at each tick, asked by entries.
    pub pauses: PauseDetector,
    ledger: ArcSwapOption<SharedLedger>,
    kept: Mutex<Option<Kept>>,
    stopping: AtomicBool,
}

impl Claims {
    /// Claims that hold nothing.
    pub fn new(settings: ClaimsSettings, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            settings,
            clock,
            pauses: PauseDetector::default(),
            ledger: ArcSwapOption::empty(),
            kept: Mutex::new(None),
            stopping: AtomicBool::new(false),
        })
    }

    /// Claims over a ledger whose slot_lease somebody else decides, for nodes without a control thread.
    pub fn with_ledger(
        settings: ClaimsSettings,
        clock: Clock,
        ledger: Arc<SharedLedger>,
    ) -> Arc<Self> {
        let claims = Self::new(settings, clock);
        claims.ledger.store(Some(ledger));
        claims
    }

    /// The ledger, once the backend server has announced itself and a preset is known.
    pub fn ledger(&self) -> Option<Arc<SharedLedger>> {
        self.ledger.load_full()
    }

    /// Whether an entry should doubt that a keyed request just read is new.
    pub fn may_predate_pause(&self, now: TimeMs) -> bool {
        let limits = self
            .ledger()
            .map(|ledger| ledger.with(|ledger, _| ledger.limits()));
        let unnoticed_ms = limits.map_or(PauseDetector::DEFAULT_PAUSE_MS, |it| it.unnoticed_pause_ms());
        self.pauses.may_predate_pause(now, unnoticed_ms)
    }

    /// Lets the claims answer what peers ask.
    pub fn attach(self: &Arc<Self>, handlers: &mut ControlHandlers) {
        let claims = self.clone();
        handlers.promise = Arc::new(move |ask| claims.promise(&ask));
        let claims = self.clone();
        handlers.hand_over = Arc::new(move |bytes| {
            let taken = claims.take_in(&bytes);
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
            let unnoticed_ms = limits.map_or(PauseDetector::DEFAULT_PAUSE_MS, |it| it.unnoticed_pause_ms());
            self.pauses.record_tick(now, unnoticed_ms);
            self.tick(&ports);
        }
    }

    /// Hands everything over before a planned stop; gives up after `wait_ms`, for example when the
    /// table is down. What is not handed over is taken over by others after the lease.
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
            .is_none_or(|kept| kept.manager.has_left())
    }

    fn lock(&self) -> MutexGuard<'_, Option<Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick(self: &Arc<Self>, ports: &Arc<ClaimsPorts>) {
        let (Some(local), Some(window_ms)) = ((ports.local)(), (ports.window_ms)()) else {
            return;
        };
        self.begin_once(&local.service, window_ms);
        let conditions = self.conditions(&local, &ports.view.load());
        let news = self.follow_window(window_ms);
        self.keep(ports, |manager, now| manager.tick(now, conditions));
        for (node, transfer) in news {
            self.send_key_update(ports, &node, transfer);
        }
    }

    fn begin_once(&self, service: &Name, window_ms: u64) {
        let mut kept = self.lock();
        if kept.is_some() {
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
        *kept = Some(Kept {
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
        // A domain that cannot be reached counts as gone: its owners cannot run calls from here,
        // and if they still read the row, they remove what others announce against them.
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

    fn follow_window(&self, window_ms: u64) -> Vec<(Name, LedgerTransfer)> {
        let mut kept = self.lock();
        let Some(kept) = kept.as_mut() else {
            return Vec::new();
        };
        let limits = kept.window.update(self.clock.now(), window_ms);
        kept.manager.set_limits(limits);
        kept.ledger.with(|ledger, now| {
            ledger.set_limits(limits);
            ledger.sweep(now);
            ledger.take_key_updates()
        })
    }

    /// Lets the manager work, shows the ledger what it holds, and only then carries out its actions.
    fn keep(
        self: &Arc<Self>,
        ports: &Arc<ClaimsPorts>,
        work: impl FnOnce(&mut LeaseManager, TimeMs) -> Vec<Action>,
    ) {
        let mut guard = self.lock();
        let Some(kept) = guard.as_mut() else {
            return;
        };
        let before = kept.manager.slot_lease().count();
        let actions = work(&mut kept.manager, self.clock.now());
        let slot_lease = kept.manager.slot_lease().clone();
        if slot_lease.count() != before {
            log::info!("claims: slots held={} before={before}", slot_lease.count());
        }
        kept.ledger.with(|ledger, _| ledger.set_slot_lease(slot_lease));
        for action in actions {
            self.act(ports, kept, action);
        }
    }

    fn act(self: &Arc<Self>, ports: &Arc<ClaimsPorts>, kept: &Kept, action: Action) {
        let claims = self.clone();
        let ports = ports.clone();
        match action {
            Action::ReadRow { op } => {
                let row = SlotMap::row_name(&kept.service);
                tokio::spawn(async move {
                    let result = read_row(&ports.platform, &row).await;
                    claims.keep(&ports, |manager, now| manager.on_read(now, op, result));
                });
            }
            Action::WriteRow { op, expected, map } => {
                let row = SlotMap::row_name(&kept.service);
                tokio::spawn(async move {
                    let result = write_row(&ports.platform, &row, expected, &map).await;
                    log::debug!("claims: row written result={result:?}");
                    claims.keep(&ports, |manager, now| manager.on_write(now, op, result));
                });
            }
            Action::AskPromise {
                round,
                node,
                member,
            } => {
                let ask = PromiseAsk {
                    service: kept.service.clone(),
                    owner: kept.instance,
                    member,
                };
                tokio::spawn(async move {
                    let promise = ask_promise(&ports, &node, ask).await;
                    claims.keep(&ports, |manager, now| {
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
                let ledger = kept
                    .ledger
                    .with(|ledger, now| ledger.give(now, &slots, &to));
                log::info!("claims: hand over slots={} to={node}", slots.len());
                tokio::spawn(async move {
                    let confirmed = send_transfer(&ports, &node, &ledger).await;
                    claims.keep(&ports, |manager, now| {
                        manager.on_handed_over(now, transfer, confirmed)
                    });
                });
            }
        }
    }

    /// News is sent once: if it is lost, the key stays unknown at the new owner.
    fn send_key_update(&self, ports: &Arc<ClaimsPorts>, node: &Name, transfer: LedgerTransfer) {
        let ports = ports.clone();
        let node = node.clone();
        tokio::spawn(async move { send_transfer(&ports, &node, &transfer).await });
    }

    fn promise(&self, ask: &PromiseAsk) -> Promise {
        let mut guard = self.lock();
        match guard.as_mut() {
            Some(kept) if kept.service == ask.service => {
                kept.manager.promise_asked(self.clock.now(), ask)
            }
            _ => Promise::Refused,
        }
    }

    fn take_in(&self, bytes: &[u8]) -> bool {
        let transfer = match LedgerTransfer::decode(bytes) {
            Ok(transfer) => transfer,
            Err(error) => {
                log::warn!("claims: transfer refused error={error}");
                return false;
            }
        };
        let mut guard = self.lock();
        let Some(kept) = guard.as_mut() else {
            return false;
        };
        if transfer.to != kept.instance || transfer.service != kept.service {
            return false;
        }
        let slots = transfer.slots.len();
        let keys = transfer.keys.len();
        let taken = kept
            .ledger
            .with(|ledger, now| ledger.receive(now, transfer.clone()));
        if taken {
            kept.manager.on_received(self.clock.now(), &transfer);
        }
        log::debug!("claims: transfer received slots={slots} keys={keys} taken={taken}");
        taken
    }
}
