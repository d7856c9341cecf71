//! What all parts of the way of a request share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

use crate::adapters::BodyBudget;
use crate::adapters::ConnectionPool;
use crate::adapters::PoolConf;
use crate::admission::AdmissionConf;
use crate::admission::usable_slots;
use crate::control::Freshness;
use crate::core::Clock;
use crate::core::Name;
use crate::core::Published;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::core::View;
use crate::metrics::Metrics;
use crate::node::gate::Gate;
use crate::node::targets::Targets;
use crate::routing::FailureRate;
use crate::routing::PickerConf;
use crate::routing::SpillPolicy;
use crate::traffic::DesiredInForce;
use crate::traffic::KnownServer;
use crate::traffic::LiveSettings;
use crate::traffic::LocalServer;
use crate::traffic::Reported;
use crate::traffic::ToldWords;
use crate::traffic::TrafficSettings;
use crate::traffic::allowances::Allowances;
use crate::traffic::keyed_routes::KeyedRoutes;
use crate::traffic::poison_watch::PoisonWatch;
use crate::traffic::retry_budgets::RetryBudgets;
use crate::traffic::root_admission::RootAdmission;
use crate::traffic::route_origins::KnownOrigins;
use crate::traffic::running_routes::RunningRoutes;

/// How long a new connection to another node may take, in milliseconds. A round trip between
/// failure domains takes a few; a lost first packet is sent again after a second, and by then
/// another target is the better choice.
const PEER_CONNECT_MS: u64 = 400;
/// How long an unused connection to another node is kept.
const PEER_IDLE_MS: u64 = 10_000;
/// How long a new connection to the local backend server may take. Its machine is this one, so
/// only a backend server that is down or has no room takes longer.
const BACKEND_CONNECT_MS: u64 = 500;
/// How long an unused connection to the backend server is kept: well below the shortest time after
/// which backend servers close theirs, for a request that meets the close may have run.
const BACKEND_IDLE_MS: u64 = 1_500;
/// Nothing acknowledged for so long ends a connection.
pub(super) const SILENCE_MS: u64 = 2_000;

/// Calls that may wait at a guard, as a percentage of its limit. Roots are refused at entries, so
/// a queue here is what is under way already, and refusing it would waste what was done for it.
const QUEUE_PERCENT: u32 = 1_000;
/// The wait in the queue that is aimed at, in milliseconds: long enough to keep a small backend
/// server busy, short against the objective of a call some levels deep.
const WAIT_TARGET_MS: u64 = 10;
/// The wait from which calls spill into other failure domains, in milliseconds. Bytes between
/// failure domains are dear, and a call some levels deep may wait so long a few times.
const SPILL_WAIT_MS: u64 = 25;
/// The same for a call with a large body.
const SPILL_LARGE_WAIT_MS: u64 = 100;

fn admission_conf() -> AdmissionConf {
    AdmissionConf {
        adapts_limit: false,
        queue_percent: QUEUE_PERCENT,
        min_queue: 128,
        wait_target_ms: WAIT_TARGET_MS,
        ..AdmissionConf::default()
    }
}

fn picker_conf() -> PickerConf {
    PickerConf {
        spill: SpillPolicy::ByWait {
            wait_ms: SPILL_WAIT_MS,
            large_wait_ms: SPILL_LARGE_WAIT_MS,
        },
        by_completion_time: true,
        ..PickerConf::default()
    }
}

/// What nodes are told of the local backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LocalNews {
    pub service: Name,
    /// How many calls it can run at once: what it says, or what it can use of that at the rate that it names.
    pub slots: u32,
    pub state: TargetState,
    /// The incarnation that has said that it leaves, if it has.
    pub leaving: Option<Name>,
    /// When that one started, if it has said so.
    pub leaving_started_unix_ms: Option<u64>,
    /// The incarnation that takes work, if one does.
    pub known: Option<KnownServer>,
}

/// What the listeners share with the control thread.
pub(super) struct SharedParts {
    pub metrics: Arc<Metrics>,
    pub view: Arc<Published<View>>,
    pub desired: Arc<DesiredInForce>,
    pub poison: Arc<PoisonWatch>,
    pub origins: Arc<KnownOrigins>,
    pub allowances: Arc<Allowances>,
    pub freshness: Arc<Freshness>,
}

/// Shared by all listeners.
pub(super) struct Traffic {
    pub settings: TrafficSettings,
    pub clock: Clock,
    pub metrics: Arc<Metrics>,
    pub view: Arc<Published<View>>,
    pub desired: Arc<DesiredInForce>,
    pub gate: Arc<Gate>,
    pub targets: Targets,
    pub budgets: RetryBudgets,
    pub roots: RootAdmission,
    pub origins: Arc<KnownOrigins>,
    pub keyed_routes: KeyedRoutes,
    pub allowances: Arc<Allowances>,
    /// How fresh what gossip tells is.
    pub freshness: Arc<Freshness>,
    pub running: Arc<RunningRoutes>,
    pub poison: Arc<PoisonWatch>,
    /// What bodies of requests and answers take of the memory.
    pub bodies: Arc<BodyBudget>,
    pub peers: ConnectionPool,
    pub backend: ConnectionPool,
    /// Holds true from the beginning of a planned stop.
    pub stopping: watch::Sender<bool>,
    /// Holds true once the guard takes no more calls in a planned stop.
    pub guard_closed: watch::Sender<bool>,
    /// Holds true once others are told that this node stops.
    pub is_leaving: AtomicBool,
    /// Holds true once the entry takes no more requests in a planned stop.
    pub entry_closed: AtomicBool,
    pub local_news: watch::Sender<LocalNews>,
    live: Published<LiveSettings>,
    local: Mutex<LocalServer>,
    told_words: Mutex<ToldWords>,
    failing: Mutex<FailureRate>,
    requests: AtomicUsize,
    /// The version of the desired state by which the gate is bounded.
    bounded_at: AtomicU64,
}

impl Traffic {
    pub(super) fn new(settings: TrafficSettings, clock: Clock, shared: SharedParts) -> Self {
        let bodies = BodyBudget::new(settings.live.held_body_bytes);
        let pool = |connect_timeout_ms, idle_ms| {
            let conf = PoolConf {
                connect_timeout_ms,
                idle_ms,
                silence_ms: SILENCE_MS,
            };
            ConnectionPool::new(conf, clock, bodies.clone())
        };
        let unknown = LocalNews {
            service: settings.service.clone(),
            slots: 0,
            state: TargetState::Starting,
            leaving: None,
            leaving_started_unix_ms: None,
            known: None,
        };
        Self {
            peers: pool(PEER_CONNECT_MS, PEER_IDLE_MS),
            backend: pool(BACKEND_CONNECT_MS, BACKEND_IDLE_MS),
            gate: Gate::new(clock, shared.metrics.clone(), true, admission_conf()),
            targets: Targets::with_conf(picker_conf()),
            budgets: RetryBudgets::new(settings.live.retry_bound),
            roots: RootAdmission::default(),
            origins: shared.origins,
            keyed_routes: KeyedRoutes::default(),
            allowances: shared.allowances,
            freshness: shared.freshness,
            running: Arc::default(),
            poison: shared.poison,
            bodies,
            stopping: watch::Sender::new(false),
            guard_closed: watch::Sender::new(false),
            is_leaving: AtomicBool::new(false),
            entry_closed: AtomicBool::new(false),
            local_news: watch::Sender::new(unknown),
            failing: Mutex::default(),
            local: Mutex::new(LocalServer::new(settings.live.heartbeat_ms)),
            told_words: Mutex::default(),
            requests: AtomicUsize::new(0),
            bounded_at: AtomicU64::new(0),
            live: Published::from_pointee(settings.live),
            settings,
            clock,
            metrics: shared.metrics,
            view: shared.view,
            desired: shared.desired,
        }
    }

    /// The settings that can change.
    pub(super) fn live(&self) -> LiveSettings {
        **self.live.load()
    }

    /// Puts changed settings into force.
    pub(super) fn set_live(&self, live: LiveSettings) {
        self.bodies.set_most_bytes(live.held_body_bytes);
        if live.retry_bound != self.live().retry_bound {
            self.budgets.set_bound(live.retry_bound);
        }
        self.allowances.set_bound(live.allowance_bound);
        self.local().set_heartbeat_ms(live.heartbeat_ms);
        self.live.store(Arc::new(live));
    }

    /// Whether keys are relied on.
    ///
    /// Guards, where the operator asks for it, against a node that is cut off and goes on serving by keys
    /// that were taken away meanwhile. It holds because the store's word that nothing is newer, which gossip
    /// carries with its age, must not be older than the operator says.
    pub(super) fn keys_hold(&self) -> bool {
        let Some(hold_ms) = self.live().keys_hold_ms else {
            return true;
        };
        let confirmed = self.freshness.confirmed();
        self.clock.now().since(confirmed) < hold_ms
    }

    /// The local backend server as far as is known. Never held across an await.
    pub(super) fn local(&self) -> MutexGuard<'_, LocalServer> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What backend servers have said in answers that came through here. Never held across an await.
    pub(super) fn told_words(&self) -> MutexGuard<'_, ToldWords> {
        self.told_words
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes the end of a call at the local backend server.
    pub(super) fn note_end(&self, has_failed: bool) {
        let now = self.clock.now();
        self.failing().note(now, has_failed);
    }

    /// Which share of calls fails at the local backend server, in thousandths.
    pub(super) fn failing_permille(&self, now: TimeMs) -> u32 {
        self.failing().permille(now)
    }

    fn failing(&self) -> MutexGuard<'_, FailureRate> {
        self.failing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what is known of the local backend server, and tells the others if it is news.
    pub(super) fn change_local(&self, change: impl FnOnce(&mut LocalServer) -> Reported) {
        let news = {
            let mut local = self.local();
            let start_of =
                |local: &LocalServer| (local.incarnation().cloned(), local.started_unix_ms());
            let before = start_of(&local);
            if change(&mut local) == Reported::Nothing {
                return;
            }
            if local.is_down() || start_of(&local) != before {
                self.poison.note_ended();
            }
            self.bound_slots(&local);
            let rate = local.rate_per_s();
            let usable = self.gate.set_rate(rate);
            LocalNews {
                service: local
                    .service()
                    .cloned()
                    .unwrap_or_else(|| self.settings.service.clone()),
                slots: rate.map_or(local.slots(), |_| usable),
                state: local.state(),
                leaving: local.leaving().cloned(),
                known: local.known(),
                leaving_started_unix_ms: local.leaving().and(local.started_unix_ms()),
            }
        };
        self.tell_others(news);
    }

    /// Guards against news to all nodes with each answer of a backend server that names a slightly different rate
    /// each time: what others are told is what it can run at once, which hardly changes.
    fn tell_others(&self, news: LocalNews) {
        self.local_news.send_if_modified(|told| {
            if *told == news {
                return false;
            }
            log::info!(
                "local: backend server, service={} state={:?} slots={}",
                news.service,
                news.state,
                news.slots
            );
            *told = news;
            true
        });
    }

    /// Bounds what runs at the local backend server by what may have changed: the slots that it announces, or the
    /// connections that the operator says it accepts. Each call that runs there takes one of both.
    pub(super) fn bound_slots(&self, local: &LocalServer) {
        let usable = usable_slots(local.slots());
        let accepted = local
            .service()
            .and_then(|service| self.max_connections(service));
        self.gate
            .set_slots(accepted.map_or(usable, |accepted| usable.min(accepted)));
    }

    /// Bounds what runs anew if another desired state is in force since: by the first call that meets it, for the
    /// next look at the gate may come too late.
    pub(super) fn follow_desired(&self) {
        let version = self.desired.version();
        if self.bounded_at.swap(version, Ordering::Relaxed) != version {
            self.bound_slots(&self.local());
        }
    }

    /// How many connections a backend server of a service accepts, if the operator says so.
    fn max_connections(&self, service: &Name) -> Option<u32> {
        let in_force = self.desired.load()?;
        let mut services = in_force.state.services.iter();
        let conf = services.find(|conf| conf.name == *service)?;
        (conf.max_connections > 0).then_some(conf.max_connections)
    }

    pub(super) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Counts a request as in progress until the returned value is dropped.
    pub(super) fn enter(self: &Arc<Self>) -> InProgress {
        self.requests.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// Requests in progress at the entry and at the guard.
    pub(super) fn requests_in_progress(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

/// A request in progress.
pub(super) struct InProgress(Arc<Traffic>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}
