//! A whole node: listeners, control thread and store joined.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::Notify;
use tokio::sync::mpsc::channel;
use tokio::task::JoinSet;

use crate::control;
use crate::control::ControlHandle;
use crate::control::ControlHandlers;
use crate::control::ControlMetrics;
use crate::core::Clock;
use crate::errors::TrafficError;
use crate::metrics::Metrics;
use crate::store::CountedStore;
use crate::store::EraStore;
use crate::store::EraWatch;
use crate::store::Store;
use crate::traffic::AdminProtocol;
use crate::traffic::DesiredInForce;
use crate::traffic::DesiredSource;
use crate::traffic::TrafficSettings;
use crate::traffic::allowance_task::keep_allowances;
use crate::traffic::allowance_task::take_allowances;
use crate::traffic::allowances::Allowances;
use crate::traffic::control_link::announce_eras;
use crate::traffic::control_link::announce_local;
use crate::traffic::control_link::announce_routes;
use crate::traffic::control_link::announce_version;
use crate::traffic::control_link::asks;
use crate::traffic::control_link::confirm_version;
use crate::traffic::control_link::control_settings;
use crate::traffic::control_link::handlers;
use crate::traffic::control_link::take_era;
use crate::traffic::cost_log::log_costs;
use crate::traffic::desired_task::StoreFollower;
use crate::traffic::listeners::Listeners;
use crate::traffic::listeners::local_address;
use crate::traffic::listeners::serve_admins;
use crate::traffic::listeners::serve_callers;
use crate::traffic::listeners::serve_peers;
use crate::traffic::poison_watch::PoisonWatch;
use crate::traffic::poison_watch::tell_targets;
use crate::traffic::roster::Roster;
use crate::traffic::route_origins::KnownOrigins;
use crate::traffic::traffic::SharedParts;
use crate::traffic::traffic::Traffic;
use crate::traffic::upkeep::log_admission;
use crate::traffic::upkeep::poll_gate;
use crate::traffic::version_news::VersionFetch;

/// News of versions that wait; more are dropped, since gossip repeats them.
const MOST_WAITING_NEWS: usize = 64;
/// Reports of crashes that wait to be passed on; a backend server does not crash more often.
const MOST_WAITING_REPORTS: usize = 16;
/// What others tell of allowances and waits; more is dropped, for counts are told again.
const MOST_WAITING_ALLOWANCES: usize = 1_024;
/// News of routes that wait to be told; more are dropped, since others find them out as well.
const MOST_WAITING_ROUTES: usize = 256;
/// Classes of priority: calls of backend servers, and callers' requests by rank.
const CLASSES: usize = 16;

/// What a node needs from outside.
pub struct TrafficInputs {
    pub settings: TrafficSettings,
    pub store: Arc<dyn Store>,
    pub source: DesiredSource,
    pub admin: AdminProtocol,
    pub clock: Clock,
}

/// A node that serves. Dropping it closes its listeners and ends its control thread, as a crash would.
pub struct TrafficProcess {
    pub(super) traffic: Arc<Traffic>,
    pub(super) control: Arc<ControlHandle>,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub report_address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl TrafficProcess {
    /// Opens the listeners, starts the control thread and serves.
    ///
    /// # Errors
    /// When an address cannot be bound or the control thread cannot be started.
    pub async fn start(inputs: TrafficInputs) -> Result<Self, TrafficError> {
        let settings = inputs.settings.clone();
        let listeners = Listeners::open(&settings).await?;
        let peer_address = local_address(&listeners.peers, settings.peer_address);
        let metrics = Arc::new(Metrics::new());
        let desired = Arc::new(DesiredInForce::default());
        let (news_sender, news) = channel(MOST_WAITING_NEWS);
        let (crash_sender, crashes) = channel(MOST_WAITING_REPORTS);
        let poison = Arc::new(PoisonWatch::new(inputs.clock, crash_sender));
        let (route_sender, route_news) = channel(MOST_WAITING_ROUTES);
        let origins = Arc::new(KnownOrigins::new(route_sender));
        let allowances = Arc::new(Allowances::new(
            settings.node.clone(),
            settings.domain.clone(),
            settings.live.allowance_bound,
            settings.is_first_start,
            inputs.clock.now(),
        ));
        let (told_sender, told) = channel(MOST_WAITING_ALLOWANCES);
        let eras = EraWatch::new();
        let handlers = ControlHandlers {
            allowances: take_allowances(told_sender),
            store_era: take_era(&eras),
            ..handlers(&settings, &desired, &poison, &origins, news_sender)
        };
        let control_settings = control_settings(&settings, peer_address, inputs.clock);
        let control_metrics = ControlMetrics::new(metrics.registry())?;
        let control = Arc::new(control::start(control_settings, handlers, control_metrics)?);
        let shared = SharedParts {
            metrics,
            view: control.view.clone(),
            desired: desired.clone(),
            poison,
            origins,
            allowances,
            freshness: control.freshness.clone(),
        };
        let traffic = Traffic::new(settings, inputs.clock, shared);
        let traffic = Arc::new(traffic);
        traffic.gate.set_classes(CLASSES);
        let announce = announce_version(&control);
        let runtime = &control.runtime;
        let counted = CountedStore::new(inputs.store, traffic.metrics.store.clone());
        let store = Arc::new(EraStore::new(counted, eras.clone()));
        let ask_now = Arc::new(Notify::new());
        let follower = StoreFollower {
            store: store.clone(),
            source: inputs.source,
            desired: desired.clone(),
            announce: announce.clone(),
            confirm: confirm_version(&control),
            asks: asks(&traffic, &control),
            ask_now: ask_now.clone(),
            reached: traffic.metrics.store_reached.clone(),
            stored: None,
        };
        runtime.spawn(follower.run());
        let fetch = VersionFetch {
            control: control.clone(),
            domain: traffic.settings.domain.clone(),
            desired: desired.clone(),
            announce,
            ask_now,
        };
        runtime.spawn(fetch.run(news));
        runtime.spawn(announce_local(control.clone(), traffic.clone()));
        runtime.spawn(announce_routes(control.clone(), route_news));
        runtime.spawn(keep_allowances(traffic.clone(), control.clone(), told));
        runtime.spawn(tell_targets(crashes, traffic.clone(), control.clone()));
        let roster = Roster {
            store,
            eras: eras.clone(),
            traffic: traffic.clone(),
            control: control.clone(),
        };
        runtime.spawn(announce_eras(control.clone(), eras));
        runtime.spawn(roster.run());
        Ok(Self::serve(traffic, control, listeners, &inputs.admin))
    }

    fn serve(
        traffic: Arc<Traffic>,
        control: Arc<ControlHandle>,
        listeners: Listeners,
        admin: &AdminProtocol,
    ) -> Self {
        let settings = &traffic.settings;
        let caller_address = local_address(&listeners.callers, settings.caller_address);
        let peer_address = local_address(&listeners.peers, settings.peer_address);
        let ready_address = local_address(&listeners.ready, settings.ready_address);
        let report_address = local_address(&listeners.reports, settings.report_address);
        let mut tasks = JoinSet::new();
        tasks.spawn(serve_callers(traffic.clone(), listeners.callers));
        tasks.spawn(serve_peers(traffic.clone(), listeners.peers));
        let admins = [
            Some(listeners.ready),
            Some(listeners.reports),
            listeners.metrics,
        ];
        for listener in admins.into_iter().flatten() {
            tasks.spawn(serve_admins(traffic.clone(), admin.clone(), listener));
        }
        tasks.spawn(poll_gate(traffic.clone()));
        tasks.spawn(log_admission(traffic.clone()));
        tasks.spawn(log_costs(traffic.clone()));
        log::info!(
            "node: serves, node={} version={} callers={caller_address} peers={peer_address} \
             ready={ready_address} reports={report_address}",
            settings.node,
            env!("CARGO_PKG_VERSION")
        );
        Self {
            traffic,
            control,
            caller_address,
            peer_address,
            ready_address,
            report_address,
            _tasks: tasks,
        }
    }

    /// The version of the desired state in force here; 0 while there is none.
    pub fn desired_version(&self) -> u64 {
        self.traffic.desired.version()
    }

    /// How long ago the store was last known to hold nothing newer, in milliseconds.
    pub fn confirmed_ms_ago(&self) -> u64 {
        let confirmed = self.traffic.freshness.last_confirmed();
        self.traffic.clock.now().since(confirmed)
    }

    /// How many targets of a service take work, as far as is known here.
    pub fn targets_of(&self, service: &str) -> usize {
        self.slots_of(service).len()
    }

    /// How many calls each target of a service that takes work can run at once, as far as is known here.
    pub fn slots_of(&self, service: &str) -> Vec<u32> {
        let view = self.traffic.view.load();
        let targets = view.targets(service).iter();
        let open = targets.filter(|target| target.state.takes_work());
        open.map(|target| target.slots).collect()
    }
}

/// Guards against a node that is gone and still gossips: its own tasks on the control thread hold the
/// handle that would end the thread. It shows as a node that never counts as dead, and as one whose
/// successor under the same name loses its state to it again and again. It holds because the thread
/// ends here, whoever still holds the handle.
impl Drop for TrafficProcess {
    fn drop(&mut self) {
        self.control.shutdown();
    }
}
