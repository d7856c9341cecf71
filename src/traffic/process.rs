//! A whole node: connects listeners, control thread and store.

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
use crate::traffic::allowance_task::allowance_handler;
use crate::traffic::allowance_task::run_allowances;
use crate::traffic::allowances::Allowances;
use crate::traffic::control_link::announce_eras;
use crate::traffic::control_link::announce_local;
use crate::traffic::control_link::announce_routes;
use crate::traffic::control_link::announce_version;
use crate::traffic::control_link::confirm_version;
use crate::traffic::control_link::control_settings;
use crate::traffic::control_link::era_handler;
use crate::traffic::control_link::handlers;
use crate::traffic::control_link::should_poll;
use crate::traffic::cost_log::log_costs;
use crate::traffic::desired_task::StoreFollower;
use crate::traffic::listeners::Listeners;
use crate::traffic::listeners::local_address;
use crate::traffic::listeners::serve_admins;
use crate::traffic::listeners::serve_callers;
use crate::traffic::listeners::serve_peers;
use crate::traffic::load_task::loads_handler;
use crate::traffic::load_task::run_loads;
use crate::traffic::maintenance::close_expired_connections;
use crate::traffic::maintenance::log_admission;
use crate::traffic::maintenance::poll_gate;
use crate::traffic::own_service::OwnService;
use crate::traffic::poison_watch::PoisonWatch;
use crate::traffic::poison_watch::forward_reports;
use crate::traffic::roster::Roster;
use crate::traffic::route_origins::RouteOrigins;
use crate::traffic::traffic::SharedParts;
use crate::traffic::traffic::Traffic;
use crate::traffic::version_fetch::VersionFetch;

/// Queue length for announcements of versions; more are dropped, since gossip repeats them.
const VERSION_QUEUE_LENGTH: usize = 64;
/// Queue length for crash reports to other guards; a backend server does not crash more often.
const CRASH_QUEUE_LENGTH: usize = 16;
/// Queue length for allowance messages of other nodes; more are dropped, since counts are sent
/// again.
const ALLOWANCE_QUEUE_LENGTH: usize = 1_024;
/// Queue length for load messages of other nodes; more are dropped, since rates are sent again.
const LOAD_QUEUE_LENGTH: usize = 1_024;
/// Queue length for route origins to announce; more are dropped, since other nodes detect them as
/// well.
const ROUTE_QUEUE_LENGTH: usize = 256;
/// The number of priority classes: one for calls of backend servers, the rest for callers' requests
/// by rank.
const PRIORITY_CLASSES: usize = 16;

/// The dependencies of a node.
pub struct TrafficInputs {
    pub settings: TrafficSettings,
    pub store: Arc<dyn Store>,
    pub source: DesiredSource,
    pub admin: AdminProtocol,
    pub clock: Clock,
}

/// A running node. Dropping it closes its listeners and ends its control thread, as a crash would.
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
    /// Fails if an address cannot be bound or the control thread cannot be started.
    pub async fn start(inputs: TrafficInputs) -> Result<Self, TrafficError> {
        let settings = inputs.settings.clone();
        let listeners = Listeners::open(&settings).await?;
        let peer_address = local_address(&listeners.peers, settings.peer_address);
        let metrics = Arc::new(Metrics::new());
        let desired = Arc::new(DesiredInForce::default());
        let own_service = Arc::new(OwnService::new(settings.service.clone()));
        let (version_sender, version_announcements) = channel(VERSION_QUEUE_LENGTH);
        let (crash_sender, crashes) = channel(CRASH_QUEUE_LENGTH);
        let poison = Arc::new(PoisonWatch::new(inputs.clock, crash_sender));
        let (route_sender, route_updates) = channel(ROUTE_QUEUE_LENGTH);
        let origins = Arc::new(RouteOrigins::new(route_sender));
        let allowances = Arc::new(Allowances::new(
            settings.node.clone(),
            settings.domain.clone(),
            settings.live.allowance_bound,
            settings.is_first_start,
            inputs.clock.now(),
        ));
        let (allowance_sender, allowance_messages) = channel(ALLOWANCE_QUEUE_LENGTH);
        let (load_sender, load_messages) = channel(LOAD_QUEUE_LENGTH);
        let eras = EraWatch::new();
        let handlers = ControlHandlers {
            allowances: allowance_handler(allowance_sender),
            loads: loads_handler(load_sender),
            store_era: era_handler(&eras),
            ..handlers(&own_service, &desired, &poison, &origins, version_sender)
        };
        let control_settings = control_settings(&settings, peer_address, inputs.clock);
        let control_metrics = ControlMetrics::new(metrics.registry())?;
        let control = Arc::new(control::start(control_settings, handlers, control_metrics)?);
        let shared = SharedParts {
            metrics,
            view: control.view.clone(),
            desired: desired.clone(),
            own_service,
            poison,
            origins,
            allowances,
            freshness: control.freshness.clone(),
        };
        let traffic = Traffic::new(settings, inputs.clock, shared);
        let traffic = Arc::new(traffic);
        traffic.gate.set_classes(PRIORITY_CLASSES);
        let announce = announce_version(&control);
        let runtime = &control.runtime;
        let counted = CountedStore::new(inputs.store, traffic.metrics.store.clone());
        let store = Arc::new(EraStore::new(counted, eras.clone()));
        let poll_now = Arc::new(Notify::new());
        let follower = StoreFollower {
            store: store.clone(),
            source: inputs.source,
            desired: desired.clone(),
            announce: announce.clone(),
            confirm: confirm_version(&control),
            should_poll: should_poll(&traffic, &control),
            poll_now: poll_now.clone(),
            reached: traffic.metrics.store_reached.clone(),
            stored: None,
        };
        runtime.spawn(follower.run());
        let fetch = VersionFetch {
            control: control.clone(),
            domain: traffic.settings.domain.clone(),
            desired: desired.clone(),
            announce,
            poll_now,
        };
        runtime.spawn(fetch.run(version_announcements));
        runtime.spawn(announce_local(control.clone(), traffic.clone()));
        runtime.spawn(announce_routes(control.clone(), route_updates));
        runtime.spawn(run_allowances(
            traffic.clone(),
            control.clone(),
            allowance_messages,
        ));
        runtime.spawn(run_loads(traffic.clone(), control.clone(), load_messages));
        runtime.spawn(forward_reports(crashes, traffic.clone(), control.clone()));
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
        tasks.spawn(close_expired_connections(traffic.clone()));
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

    /// The version of the desired state in force; 0 while there is none.
    pub fn desired_version(&self) -> u64 {
        self.traffic.desired.version()
    }

    /// How long ago the store was last known to hold nothing newer, in milliseconds.
    pub fn confirmed_ms_ago(&self) -> u64 {
        let confirmed = self.traffic.freshness.last_confirmed();
        self.traffic.clock.now().since(confirmed)
    }

    /// How many known targets of a service accept work.
    pub fn targets_of(&self, service: &str) -> usize {
        self.slots_of(service).len()
    }

    /// How many calls each known target of a service that accepts work can run at once.
    pub fn slots_of(&self, service: &str) -> Vec<u32> {
        let view = self.traffic.view.load();
        let targets = view.targets(service).iter();
        let open = targets.filter(|target| target.state.accepts_calls());
        open.map(|target| target.slots).collect()
    }
}

/// Ends the control thread explicitly. The node's own tasks on that thread hold its handle, so
/// dropping the handle would not end it, and the node would continue to gossip. Other nodes would
/// then never detect it as dead, and its successor under the same name would repeatedly lose its
/// state to it.
impl Drop for TrafficProcess {
    fn drop(&mut self) {
        self.control.shutdown();
    }
}
