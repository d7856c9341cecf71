//! State shared by all parts of the data path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;

use crate::adapters::HttpClient;
use crate::adapters::http_client;
use crate::adapters::http_client_from;
use crate::admission::AdmissionConf;
use crate::claims::SlotRouter;
use crate::conf::NodeSettings;
use crate::metrics::Metrics;
use crate::node::Announcement;
use crate::node::LocalBackend;
use crate::node::NodeInputs;
use crate::node::backend_rate_limit::BackendRateLimit;
use crate::node::gate::Gate;
use crate::node::live_calls::LiveCalls;
use crate::node::reported_levels::ReportedLevels;
use crate::node::status::LedgerFigures;
use crate::node::targets::Targets;

/// A streamed answer is aborted if no data arrives for `silence_ms` times this. The time is longer
/// than for answer heads, since no node can be queried for the rest and slow storage pauses too.
const STALL_FACTOR: u64 = 20;
/// The number of consecutive refused connections after which the backend server counts as down.
const DOWN_AFTER_REFUSALS: u32 = 3;
/// How long an idle connection to the backend server is kept, in milliseconds.
const BACKEND_IDLE_MS: u64 = 1_000;

/// The state shared by the four listeners.
pub struct Node {
    pub settings: NodeSettings,
    pub inputs: NodeInputs,
    pub metrics: Arc<Metrics>,
    pub(super) peer_client: ArcSwap<HttpClient>,
    pub(super) backend_client: HttpClient,
    pub(super) live_calls: LiveCalls,
    pub(super) targets: Targets,
    pub(super) gate: Arc<Gate>,
    pub(super) backend_rate_limit: BackendRateLimit,
    pub(super) levels: ReportedLevels,
    slot_router: Mutex<SlotRouter>,
    draining: AtomicBool,
    connections_refused: AtomicU32,
}

impl Node {
    /// Creates the state from settings and inputs.
    pub fn new(settings: NodeSettings, inputs: NodeInputs) -> Self {
        let gate = Gate::new(
            inputs.clock,
            inputs.metrics.clone(),
            settings.control_enabled,
            AdmissionConf::default(),
        );
        Self {
            gate,
            metrics: inputs.metrics.clone(),
            inputs,
            peer_client: ArcSwap::from_pointee(peer_client(&settings)),
            backend_client: http_client(BACKEND_IDLE_MS, settings.connect_timeout_ms),
            backend_rate_limit: BackendRateLimit::default(),
            live_calls: LiveCalls::new(),
            targets: Targets::new(),
            levels: ReportedLevels::default(),
            slot_router: Mutex::new(SlotRouter::default()),
            draining: AtomicBool::new(false),
            connections_refused: AtomicU32::new(0),
            settings,
        }
    }

    /// Closes all idle connections to other nodes, since whatever dropped the state of one
    /// connection has probably dropped that of others. `used` is the client whose connection became
    /// half-open. One renewal is enough for all calls that used it.
    pub(super) fn renew_peer_client(&self, used: &Arc<HttpClient>) {
        if Arc::ptr_eq(&self.peer_client.load(), used) {
            let renewed = Arc::new(peer_client(&self.settings));
            self.peer_client.compare_and_swap(used, renewed);
        }
    }

    /// How long a streamed answer may bring no data before it is aborted, in milliseconds.
    pub(super) fn stall_ms(&self) -> u64 {
        self.settings.silence_ms * STALL_FACTOR
    }

    /// Begins a planned stop: new work is refused from now on, and running calls are finished.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.inputs.local.send_modify(LocalBackend::drain);
    }

    /// Whether a planned stop of this node has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The known owners of keys. The contents of a poisoned lock are still used, since each guard
    /// checks whether it owns the key of a call.
    pub(super) fn slot_router(&self) -> MutexGuard<'_, SlotRouter> {
        self.slot_router
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of calls that run at the local backend server or that this node has forwarded.
    pub fn calls_in_flight(&self) -> u64 {
        let forwarded = self.metrics.entry_in_flight.get().max(0) as u64;
        forwarded + u64::from(self.gate.load().in_flight)
    }

    /// Applies an announcement of the local backend server.
    pub(super) fn apply_announcement(&self, announcement: Announcement) {
        self.gate.set_slots(announcement.slots);
        let details = format!(
            "service={} address={} slots={} state={:?}",
            announcement.service, announcement.address, announcement.slots, announcement.state,
        );
        let changed = self.inputs.local.send_if_modified(|local| {
            let changed = local.announced.as_ref() != Some(&announcement);
            local.announced = Some(announcement);
            changed
        });
        if changed {
            log::info!("node: the backend server announced itself, {details}");
        }
    }

    /// Records whether the backend server accepted a connection. After several consecutive refusals
    /// it is marked as starting, also to the other nodes, until it announces itself again. A
    /// crashed backend server cannot announce this itself.
    pub(super) fn record_connection(&self, accepted: bool) {
        if accepted {
            self.connections_refused.store(0, Ordering::Relaxed);
            return;
        }
        if self.connections_refused.fetch_add(1, Ordering::Relaxed) + 1 < DOWN_AFTER_REFUSALS {
            return;
        }
        let changed = self.inputs.local.send_if_modified(LocalBackend::mark_down);
        if changed {
            self.backend_rate_limit.reset(&self.gate);
            log::warn!("node: the backend server refuses connections, state=starting");
        }
    }

    /// The address of the local backend server, once it has announced itself.
    pub(super) fn backend_address(&self) -> Option<SocketAddr> {
        let local = self.inputs.local.borrow();
        local.announced.as_ref().map(|announced| announced.address)
    }

    /// The number of classes of the preset in force, or 1 while none is known.
    pub(super) fn classes_in_force(&self) -> usize {
        let in_force = self.inputs.in_force.load();
        let known = in_force.as_ref().as_ref();
        known.map_or(1, |known| known.preset.classes.len())
    }

    /// Updates the gauges before the metrics are read.
    pub(super) fn refresh_gauges(&self) {
        let load = self.gate.load();
        self.metrics.guard_in_flight.set(i64::from(load.in_flight));
        self.metrics.guard_limit.set(i64::from(load.limit));
        self.metrics.set_guard_queue(&self.gate.queued_by_class());
        let ledger = LedgerFigures::of(self);
        self.metrics.slots_owned.set(ledger.slots_owned as i64);
        self.metrics.slots_open.set(ledger.slots_open as i64);
        self.metrics.ledger_keys.set(ledger.keys as i64);
        let answer_bytes = ledger.answer_bytes as i64;
        self.metrics.ledger_answer_bytes.set(answer_bytes);
        let in_force = self.inputs.in_force.load();
        let version = in_force.as_ref().as_ref().map_or(0, |known| known.version);
        self.metrics.config_version.set(version as i64);
    }
}

fn peer_client(settings: &NodeSettings) -> HttpClient {
    http_client_from(
        settings.peer_address.ip(),
        settings.idle_connection_ms,
        settings.connect_timeout_ms,
    )
}
