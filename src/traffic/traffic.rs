//! The state that all parts of the request path share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

use crate::adapters::BodyBudget;
use crate::adapters::ConnectionPool;
use crate::adapters::PoolConf;
use crate::adapters::UsedConnections;
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
use crate::traffic::AdvertisementCache;
use crate::traffic::Departure;
use crate::traffic::DesiredInForce;
use crate::traffic::KnownServer;
use crate::traffic::LiveSettings;
use crate::traffic::LocalChange;
use crate::traffic::LocalServer;
use crate::traffic::RetryHandover;
use crate::traffic::TrafficSettings;
use crate::traffic::allowances::Allowances;
use crate::traffic::keyed_routes::KeyedRoutes;
use crate::traffic::own_service::OwnService;
use crate::traffic::placements::Placements;
use crate::traffic::poison_watch::PoisonWatch;
use crate::traffic::retry_budgets::RetryBudgets;
use crate::traffic::root_admission::RootAdmission;
use crate::traffic::route_origins::RouteOrigins;
use crate::traffic::running_routes::RunningRoutes;

/// Connect time-out to another node, in milliseconds. A round trip between failure domains takes a
/// few milliseconds. A lost first packet is sent again only after a second, and by then another
/// target is the better choice.
const PEER_CONNECT_MS: u64 = 400;
/// Idle time-out of a connection to another node, in milliseconds.
const PEER_IDLE_MS: u64 = 10_000;
/// Connect time-out to the local backend server, in milliseconds. It is on the same machine, so
/// only a backend server that is down or overloaded takes longer.
const BACKEND_CONNECT_MS: u64 = 500;
/// Idle time-out of a connection to the backend server, in milliseconds. It is well below the
/// shortest time after which backend servers close idle connections, because a request sent while
/// the server closes the connection may have run.
const BACKEND_IDLE_MS: u64 = 1_500;
/// How long the local backend server may leave a long body unread, in milliseconds. The deadlines of
/// requests are usually earlier.
const BACKEND_SLOW_READ_MS: u64 = 30_000;
/// A connection is closed after this time without any acknowledgement, in milliseconds.
pub(super) const SILENCE_MS: u64 = 2_000;

/// The maximum queue length at a guard, as a percentage of its limit. Root requests are refused at
/// entries, so the queue holds calls of requests in progress. Refusing those would waste the work
/// already done for them.
const QUEUE_PERCENT: u32 = 1_000;
/// The target wait in the queue, in milliseconds: long enough to keep a small backend server busy,
/// and short compared with the latency objective of a call several levels deep.
const WAIT_TARGET_MS: u64 = 10;
/// The wait from which calls spill into other failure domains, in milliseconds. Traffic between
/// failure domains is expensive, and a call several levels deep may wait this long a few times.
const SPILL_WAIT_MS: u64 = 25;
/// The wait from which calls with a large body spill, in milliseconds.
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

/// What other nodes are told about the local backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LocalServerStatus {
    pub service: Name,
    /// How many calls it can run at once, as reported. If it advertises a rate limit, only as many
    /// as that rate keeps busy.
    pub slots: u32,
    pub state: TargetState,
    /// The departure to store for a restart of the node; see [`LocalServer::departure`].
    pub departure: Option<Departure>,
    /// The incarnation to store for a restart of the node; see [`LocalServer::known`].
    pub known: Option<KnownServer>,
}

/// The parts that the listeners share with the control thread.
pub(super) struct SharedParts {
    pub metrics: Arc<Metrics>,
    pub view: Arc<Published<View>>,
    pub desired: Arc<DesiredInForce>,
    pub own_service: Arc<OwnService>,
    pub poison: Arc<PoisonWatch>,
    pub origins: Arc<RouteOrigins>,
    pub allowances: Arc<Allowances>,
    pub freshness: Arc<Freshness>,
}

/// The state shared by all listeners.
pub(super) struct Traffic {
    pub settings: TrafficSettings,
    pub own_service: Arc<OwnService>,
    pub clock: Clock,
    pub metrics: Arc<Metrics>,
    pub view: Arc<Published<View>>,
    pub desired: Arc<DesiredInForce>,
    pub gate: Arc<Gate>,
    pub targets: Targets,
    pub budgets: RetryBudgets,
    pub roots: RootAdmission,
    pub origins: Arc<RouteOrigins>,
    pub keyed_routes: KeyedRoutes,
    pub allowances: Arc<Allowances>,
    /// How calls are spread over failure domains.
    pub placements: Placements,
    /// How old the information received by gossip is.
    pub freshness: Arc<Freshness>,
    pub running: Arc<RunningRoutes>,
    pub poison: Arc<PoisonWatch>,
    /// The memory held by bodies of requests and answers.
    pub bodies: Arc<BodyBudget>,
    pub peers: ConnectionPool,
    pub backend: ConnectionPool,
    /// True from the start of a planned stop.
    pub stopping: watch::Sender<bool>,
    /// True once the guard accepts no more calls in a planned stop.
    pub guard_closed: watch::Sender<bool>,
    /// True once other nodes are told that this node stops.
    pub is_leaving: AtomicBool,
    /// True once the entry accepts no more requests in a planned stop.
    pub entry_closed: AtomicBool,
    /// Until when calls may wait for admission, in a planned stop: later they could not be finished.
    pub admission_ends_at: OnceLock<TimeMs>,
    /// True once the calls still in progress are answered without a result, in a planned stop.
    pub calls_ended: watch::Sender<bool>,
    pub local_status: watch::Sender<LocalServerStatus>,
    /// True once the departure in this node's stored row is known here.
    pub is_own_row_read: watch::Sender<bool>,
    /// The retries of this process, once it stops and grants no more.
    pub retry_handover: watch::Sender<Option<RetryHandover>>,
    /// True once the node's row has the handover.
    pub is_handed_over: watch::Sender<bool>,
    live: Published<LiveSettings>,
    local: Mutex<LocalServer>,
    advertisement_cache: Mutex<AdvertisementCache>,
    failing: Mutex<FailureRate>,
    requests: AtomicUsize,
    /// Connections of callers and other nodes; see [`Self::unsent_answers`].
    pub used_connections: Arc<UsedConnections>,
    /// The version of the desired state whose limits the gate has.
    limits_version: AtomicU64,
}

impl Traffic {
    pub(super) fn new(settings: TrafficSettings, clock: Clock, shared: SharedParts) -> Self {
        let bodies = BodyBudget::new(settings.live.held_body_bytes);
        let pool = |connect_timeout_ms, idle_ms, long_body_silence_ms| {
            let conf = PoolConf {
                connect_timeout_ms,
                idle_ms,
                silence_ms: SILENCE_MS,
                long_body_silence_ms,
            };
            ConnectionPool::new(conf, clock, bodies.clone())
        };
        let unknown = LocalServerStatus {
            service: settings.service.clone(),
            slots: 0,
            state: TargetState::Starting,
            departure: None,
            known: None,
        };
        let mut local = LocalServer::new(settings.live.heartbeat_ms);
        if !settings.is_first_start {
            local.expect_stored_departure(clock.now());
        }
        Self {
            peers: pool(PEER_CONNECT_MS, PEER_IDLE_MS, SILENCE_MS),
            backend: pool(BACKEND_CONNECT_MS, BACKEND_IDLE_MS, BACKEND_SLOW_READ_MS),
            gate: Gate::new(clock, shared.metrics.clone(), true, admission_conf()),
            targets: Targets::with_conf(picker_conf()),
            budgets: RetryBudgets::new(&settings, clock.now()),
            roots: RootAdmission::default(),
            origins: shared.origins,
            keyed_routes: KeyedRoutes::default(),
            allowances: shared.allowances,
            placements: Placements::new(
                settings.node.clone(),
                settings.domain.clone(),
                settings.live.placement_conf(),
            ),
            freshness: shared.freshness,
            running: Arc::default(),
            poison: shared.poison,
            bodies,
            stopping: watch::Sender::new(false),
            guard_closed: watch::Sender::new(false),
            is_leaving: AtomicBool::new(false),
            entry_closed: AtomicBool::new(false),
            admission_ends_at: OnceLock::new(),
            calls_ended: watch::Sender::new(false),
            local_status: watch::Sender::new(unknown),
            is_own_row_read: watch::Sender::new(settings.is_first_start),
            retry_handover: watch::Sender::new(None),
            is_handed_over: watch::Sender::new(false),
            failing: Mutex::default(),
            local: Mutex::new(local),
            advertisement_cache: Mutex::default(),
            requests: AtomicUsize::new(0),
            used_connections: Arc::default(),
            limits_version: AtomicU64::new(0),
            live: Published::from_pointee(settings.live),
            settings,
            clock,
            own_service: shared.own_service,
            metrics: shared.metrics,
            view: shared.view,
            desired: shared.desired,
        }
    }

    /// The settings that can change while the node runs.
    pub(super) fn live(&self) -> LiveSettings {
        **self.live.load()
    }

    /// Applies changed settings.
    pub(super) fn set_live(&self, live: LiveSettings) {
        self.bodies.set_max_bytes(live.held_body_bytes);
        self.budgets.set_live(self.clock.now(), &live);
        self.allowances.set_bound(live.allowance_bound);
        self.placements.set_conf(live.placement_conf());
        self.local().set_heartbeat_ms(live.heartbeat_ms);
        self.live.store(Arc::new(live));
    }

    /// Whether account keys are confirmed recently enough to be accepted.
    ///
    /// A node that is cut off would otherwise accept keys that were revoked in between. The
    /// operator can limit the age of the store's confirmation that nothing is newer, which gossip
    /// carries.
    pub(super) fn keys_are_fresh(&self) -> bool {
        let Some(hold_ms) = self.live().keys_hold_ms else {
            return true;
        };
        let confirmed = self.freshness.last_confirmed();
        self.clock.now().since(confirmed) < hold_ms
    }

    /// What is known of the local backend server. Never held across an await.
    pub(super) fn local(&self) -> MutexGuard<'_, LocalServer> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What backend servers have advertised in answers that this node relayed. Never held across an
    /// await.
    pub(super) fn advertisement_cache(&self) -> MutexGuard<'_, AdvertisementCache> {
        self.advertisement_cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the end of a call at the local backend server.
    pub(super) fn record_end(&self, has_failed: bool) {
        let now = self.clock.now();
        self.failing().record(now, has_failed);
    }

    /// The share of calls that fail at the local backend server, in thousandths.
    pub(super) fn failing_permille(&self, now: TimeMs) -> u32 {
        self.failing().permille(now)
    }

    fn failing(&self) -> MutexGuard<'_, FailureRate> {
        self.failing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates what is known of the local backend server, and announces a change to other nodes.
    pub(super) fn update_local(&self, change: impl FnOnce(&mut LocalServer) -> LocalChange) {
        let status = {
            let mut local = self.local();
            let start_of =
                |local: &LocalServer| (local.incarnation().cloned(), local.started_unix_ms());
            let before = start_of(&local);
            let service_before = local.service().cloned();
            if change(&mut local) == LocalChange::NoChange {
                return;
            }
            if local.is_down() || start_of(&local) != before {
                let current = || self.own_service.current();
                let exited = service_before.clone().unwrap_or_else(current);
                self.poison.record_backend_exit(&exited);
            }
            if let Some(reported) = local.service()
                && service_before.as_ref() != Some(reported)
            {
                self.own_service.set_reported(reported.clone());
            }
            self.limit_slots(&local);
            let rate = local.rate_per_s();
            let usable = self.gate.set_rate(rate);
            LocalServerStatus {
                service: local
                    .service()
                    .cloned()
                    .unwrap_or_else(|| self.own_service.current()),
                slots: rate.map_or(local.slots(), |_| usable),
                state: local.state(),
                departure: local.departure(),
                known: local.known(),
            }
        };
        self.publish_local_status(status);
    }

    /// Announces the status of the local backend server, if it has changed.
    ///
    /// A backend server may advertise a slightly different rate limit with each answer. The status
    /// has the number of calls that it can run at once instead, which rarely changes, so not every
    /// answer causes a message to all nodes.
    fn publish_local_status(&self, status: LocalServerStatus) {
        self.local_status.send_if_modified(|published| {
            if *published == status {
                return false;
            }
            log::info!(
                "local: backend server, service={} state={:?} slots={}",
                status.service,
                status.state,
                status.slots
            );
            *published = status;
            true
        });
    }

    /// Limits the calls that run at the local backend server to the slots that it reports, and to
    /// the connections that it accepts according to the operator. Each running call takes one of
    /// both.
    ///
    /// While the service of an incarnation is unknown, the limit stays. Calls in the queue are then
    /// still taken out of it and refused at once, so that their entries can try other targets.
    pub(super) fn limit_slots(&self, local: &LocalServer) {
        let Some(service) = local.service() else {
            return;
        };
        let usable = usable_slots(local.slots());
        let accepted = self.max_connections(service);
        self.gate
            .set_slots(accepted.map_or(usable, |accepted| usable.min(accepted)));
    }

    /// Applies the limits of the desired state in force, if it has changed. Each call checks this
    /// before admission, because the next periodic poll of the gate may be too late.
    pub(super) fn apply_desired_limits(&self) {
        let version = self.desired.version();
        if self.limits_version.swap(version, Ordering::Relaxed) != version {
            self.limit_slots(&self.local());
        }
    }

    /// How many connections a backend server of a service accepts, if the operator has configured
    /// it.
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

    /// How many connections still send an answer, once the entry and the guard accept no more
    /// requests.
    pub(super) fn unsent_answers(&self) -> usize {
        self.used_connections.count()
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
