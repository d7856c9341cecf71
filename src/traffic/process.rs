//! A whole node: listeners, control thread and store joined.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::mpsc::channel;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::adapters::ListenerConf;
use crate::adapters::bind;
use crate::adapters::serve_http;
use crate::control;
use crate::control::ControlHandle;
use crate::control::ControlHandlers;
use crate::control::ControlMetrics;
use crate::control::ControlSettings;
use crate::core::Clock;
use crate::core::TargetState;
use crate::desired::WatchPace;
use crate::errors::TrafficError;
use crate::membership::MembershipSettings;
use crate::metrics::Metrics;
use crate::store::Store;
use crate::traffic::AdminProtocol;
use crate::traffic::DesiredInForce;
use crate::traffic::DesiredSource;
use crate::traffic::TrafficSettings;
use crate::traffic::admin::serve_admin;
use crate::traffic::desired_task::AnnounceVersion;
use crate::traffic::desired_task::Pace;
use crate::traffic::desired_task::VersionNews;
use crate::traffic::desired_task::fetch_news;
use crate::traffic::desired_task::watch_store;
use crate::traffic::entry::serve_caller;
use crate::traffic::guard::serve_peer;
use crate::traffic::poison_watch::PoisonWatch;
use crate::traffic::poison_watch::take_report;
use crate::traffic::poison_watch::tell_targets;
use crate::traffic::roster::Roster;
use crate::traffic::traffic::SILENCE_MS;
use crate::traffic::traffic::Traffic;

/// News of versions that wait; more are dropped, since gossip repeats them.
const MOST_WAITING_NEWS: usize = 64;
/// Reports of crashes that wait to be passed on; a backend server does not crash more often.
const MOST_WAITING_REPORTS: usize = 16;
/// How long a connection between nodes may stay unused: longer than the sender keeps it.
const PEER_IDLE_MS: u64 = 30_000;
/// The longest head of a call between nodes: a caller's own, and the context beside it.
const PEER_HEAD_BYTES: usize = 128 * 1024;
/// How often admission looks at the time while calls wait.
const BUSY_GATE_LOOK: Duration = Duration::from_millis(20);
/// The same while none waits.
const IDLE_GATE_LOOK: Duration = Duration::from_millis(100);
/// From this pressure on a service that the backend server calls counts as the bottleneck.
const DEEP_PRESSED_PERMILLE: u32 = 900;
/// How often admission of roots is logged while some are refused.
const ADMISSION_LOG: Duration = Duration::from_secs(1);
/// Classes of priority: calls of backend servers, and callers' requests by rank.
const CLASSES: usize = 8;

/// What a node needs from outside.
pub struct TrafficInputs {
    pub settings: TrafficSettings,
    pub store: Arc<dyn Store>,
    pub source: DesiredSource,
    pub admin: AdminProtocol,
    pub clock: Clock,
}

/// A node that serves. Dropping it closes its listeners.
pub struct TrafficProcess {
    pub(super) traffic: Arc<Traffic>,
    pub(super) control: Arc<ControlHandle>,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub report_address: SocketAddr,
    _tasks: JoinSet<()>,
}

struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    ready: TcpListener,
    reports: TcpListener,
    metrics: Option<TcpListener>,
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
        let handlers = handlers(&settings, &desired, &poison, news_sender);
        let control_settings = control_settings(&settings, peer_address, inputs.clock);
        let control_metrics = ControlMetrics::new(metrics.registry())?;
        let control = Arc::new(control::start(control_settings, handlers, control_metrics)?);
        let view = control.view.clone();
        let traffic = Traffic::new(
            settings,
            inputs.clock,
            metrics,
            view,
            desired.clone(),
            poison,
        );
        let traffic = Arc::new(traffic);
        traffic.gate.set_classes(CLASSES);
        let announce = announce_version(&control);
        let runtime = &control.runtime;
        runtime.spawn(watch_store(
            inputs.store.clone(),
            inputs.source,
            desired.clone(),
            announce.clone(),
            pace(&traffic),
            traffic.metrics.store_reached.clone(),
        ));
        runtime.spawn(fetch_news(
            news,
            control.clients.clone(),
            desired.clone(),
            announce,
        ));
        runtime.spawn(announce_local(control.clone(), traffic.clone()));
        runtime.spawn(tell_targets(
            crashes,
            Arc::downgrade(&traffic),
            Arc::downgrade(&control),
        ));
        let roster = Roster {
            store: inputs.store,
            traffic: traffic.clone(),
            control: control.clone(),
        };
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

    /// How many targets of a service take work, as far as is known here.
    pub fn targets_of(&self, service: &str) -> usize {
        let view = self.traffic.view.load();
        let targets = view.targets(service).iter();
        targets.filter(|target| target.state.takes_work()).count()
    }
}

impl Listeners {
    async fn open(settings: &TrafficSettings) -> Result<Self, TrafficError> {
        Ok(Self {
            callers: open("callers", settings.caller_address).await?,
            peers: open("peers", settings.peer_address).await?,
            ready: open("ready", settings.ready_address).await?,
            reports: open("reports", settings.report_address).await?,
            metrics: open_metrics(settings.metrics_address).await,
        })
    }
}

async fn open(listener: &'static str, address: SocketAddr) -> Result<TcpListener, TrafficError> {
    bind(address).await.map_err(|source| TrafficError::Bind {
        listener,
        address,
        source,
    })
}

/// A node without this listener serves all the same.
async fn open_metrics(address: Option<SocketAddr>) -> Option<TcpListener> {
    match open("metrics", address?).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::warn!("node: metrics are served on the readiness listener only, error={error}");
            None
        }
    }
}

/// The address with the real port when any was asked for.
fn local_address(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}

fn control_settings(
    settings: &TrafficSettings,
    peer_address: SocketAddr,
    clock: Clock,
) -> ControlSettings {
    ControlSettings {
        node: settings.node.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        peer_address,
        control_address: settings.control_address,
        advertised_address: settings.control_address,
        seeds: Vec::new(),
        membership: MembershipSettings::default(),
        clock,
    }
}

fn handlers(
    settings: &TrafficSettings,
    desired: &Arc<DesiredInForce>,
    poison: &Arc<PoisonWatch>,
    news: tokio::sync::mpsc::Sender<VersionNews>,
) -> ControlHandlers {
    let asked = desired.clone();
    let held = desired.clone();
    let (poison, service) = (poison.clone(), settings.service.clone());
    ControlHandlers {
        report_suspects: Arc::new(move |news| take_report(&poison, &service, &news)),
        config_above: Arc::new(move |above| asked.document_above(above)),
        config_news: Arc::new(move |from, version| {
            if version > held.version() && news.try_send(VersionNews { from, version }).is_err() {
                log::debug!("config: news were dropped, version={version}");
            }
        }),
        ..ControlHandlers::default()
    }
}

/// A node without a desired state serves nothing, so it asks as closely as a watcher.
fn pace(traffic: &Arc<Traffic>) -> Pace {
    let traffic = traffic.clone();
    Arc::new(move || {
        if traffic.desired.version() == 0 {
            return WatchPace::WATCHER;
        }
        let settings = &traffic.settings;
        WatchPace::of(&traffic.view.load(), &settings.node, &settings.domain)
    })
}

/// Held weakly: the tasks that announce live on the control thread, which the handle ends.
fn announce_version(control: &Arc<ControlHandle>) -> AnnounceVersion {
    let control = Arc::downgrade(control);
    Arc::new(move |version| {
        if let Some(control) = control.upgrade() {
            control.set_config_version(version);
        }
    })
}

/// Tells all members what is known of the local backend server, at each change.
async fn announce_local(control: Arc<ControlHandle>, traffic: Arc<Traffic>) {
    let mut news = traffic.local_news.subscribe();
    loop {
        let local = news.borrow_and_update().clone();
        let state = if traffic.is_leaving.load(Ordering::Relaxed) {
            TargetState::Draining
        } else {
            local.state
        };
        control.announce(&local.service, local.slots, state);
        if news.changed().await.is_err() {
            return;
        }
    }
}

async fn serve_callers(traffic: Arc<Traffic>, listener: TcpListener) {
    let desired = traffic.desired.clone();
    let conf = move || {
        let limits = desired.limits();
        ListenerConf {
            idle_ms: limits.idle_timeout_ms.max(limits.header_timeout_ms),
            most_head_bytes: limits.max_header_bytes,
            silence_ms: SILENCE_MS,
        }
    };
    let stopping = traffic.stopping.subscribe();
    let handler = move |request: Request<Incoming>, _| serve_caller(traffic.clone(), request);
    serve_http(listener, conf, stopping, handler).await;
}

async fn serve_peers(traffic: Arc<Traffic>, listener: TcpListener) {
    let conf = || ListenerConf {
        idle_ms: PEER_IDLE_MS,
        most_head_bytes: PEER_HEAD_BYTES,
        silence_ms: SILENCE_MS,
    };
    let closed = traffic.guard_closed.subscribe();
    let handler = move |request: Request<Incoming>, _| serve_peer(traffic.clone(), request);
    serve_http(listener, conf, closed, handler).await;
}

async fn serve_admins(traffic: Arc<Traffic>, admin: AdminProtocol, listener: TcpListener) {
    let conf = || ListenerConf {
        idle_ms: PEER_IDLE_MS,
        most_head_bytes: 0,
        silence_ms: SILENCE_MS,
    };
    // These go on during a stop: whoever asks must get an answer.
    let (_never, stopping) = watch::channel(false);
    let handler =
        move |request: Request<Incoming>, _| serve_admin(traffic.clone(), admin.clone(), request);
    serve_http(listener, conf, stopping, handler).await;
}

fn note_deep_pressure(traffic: &Traffic) {
    let running = traffic.running.all();
    let deepest = traffic
        .roots
        .deepest_permille(traffic.clock.now(), &running);
    traffic
        .gate
        .set_deep_pressed(deepest >= DEEP_PRESSED_PERMILLE);
}

/// What entries believe of pressure is said once a second while it has requests refused, and what
/// waits at the guard while anything does.
async fn log_admission(traffic: Arc<Traffic>) {
    loop {
        tokio::time::sleep(ADMISSION_LOG).await;
        traffic.roots.log_closed();
        let load = traffic.gate.load();
        if load.queued > 0 {
            log::info!(
                "guard: calls wait, queued={} in_flight={} limit={} pressure_permille={}",
                load.queued,
                load.in_flight,
                load.limit,
                traffic.gate.pressure_permille()
            );
        }
    }
}

/// Waiting calls give up in time also when nothing else happens at the guard.
async fn poll_gate(traffic: Arc<Traffic>) {
    loop {
        let is_busy = traffic.gate.load().queued > 0;
        let look = if is_busy {
            BUSY_GATE_LOOK
        } else {
            IDLE_GATE_LOOK
        };
        tokio::time::sleep(look).await;
        note_deep_pressure(&traffic);
        traffic.gate.poll();
    }
}
