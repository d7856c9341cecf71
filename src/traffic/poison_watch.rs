//! Tracks requests that crash the local backend server, and exchanges crash reports with other
//! guards ([docs/POISON.md](../../docs/POISON.md)).

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use futures::future::join_all;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;

use crate::control::ControlHandle;
use crate::control::Suspects as SuspectsReport;
use crate::core::Clock;
use crate::core::Name;
use crate::core::RequestId;
use crate::core::fingerprint_of;
use crate::poison::BrokenCalls;
use crate::poison::CrashId;
use crate::poison::CrashReport;
use crate::poison::PoisonSettings;
use crate::poison::RunningRequest;
use crate::poison::Suspects;
use crate::poison::Verdict;
use crate::traffic::call::Message;
use crate::traffic::traffic::Traffic;

/// After this number of crashes, requests with the same content are refused. One more than for
/// calls in the nodes' own protocol: there a crash report is sent before any answer. Here it is
/// sent only once the crash is certain, and until then the call is retried at a second target.
const CRASHES_TO_REFUSE: usize = 3;

#[derive(Debug)]
struct WatchState {
    suspects: Suspects,
    broken: BrokenCalls,
}

/// Shared by the guard's request path and its control calls.
#[derive(Debug)]
pub(super) struct PoisonWatch {
    clock: Clock,
    state: Mutex<WatchState>,
    reports: Sender<SuspectsReport>,
}

impl PoisonWatch {
    /// Starts without suspects. Reports for other guards are sent to `reports`.
    pub(super) fn new(clock: Clock, reports: Sender<SuspectsReport>) -> Self {
        let settings = PoisonSettings {
            crashes: CRASHES_TO_REFUSE,
            crashes_non_idempotent: CRASHES_TO_REFUSE,
            ..PoisonSettings::default()
        };
        Self {
            clock,
            state: Mutex::new(WatchState {
                suspects: Suspects::new(settings),
                broken: BrokenCalls::default(),
            }),
            reports,
        }
    }

    /// Whether a call may run.
    pub(super) fn is_allowed(&self, call: &RunningRequest) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let (request, fingerprint) = (call.request, call.fingerprint);
        state.suspects.verdict(now, request, fingerprint, false) == Verdict::Allowed
    }

    /// Records a call that succeeded.
    pub(super) fn record_success(&self, call: &RunningRequest) {
        let mut state = self.lock();
        if !state.suspects.is_empty() && state.suspects.record_completion(call.fingerprint) {
            log::info!("poison: cleared, fingerprint={:016x}", call.fingerprint);
        }
    }

    /// Records a call whose connection to the backend server broke.
    pub(super) fn record_broken(&self, call: RunningRequest) {
        let now = self.clock.now();
        self.lock().broken.record(now, call);
    }

    /// Records the end of a backend server of this service, for any reason: calls that broke just
    /// before were running at that time.
    pub(super) fn record_backend_exit(&self, service: &Name) {
        let now = self.clock.now();
        let mut state = self.lock();
        let running = state.broken.take(now);
        if running.is_empty() {
            return;
        }
        log::warn!(
            "poison: the backend server crashed, running={}",
            running.len()
        );
        let report = state
            .suspects
            .record_crash(now, CrashId::random(), &running);
        let suspects_report = SuspectsReport {
            service: service.clone(),
            report,
        };
        if self.reports.try_send(suspects_report).is_err() {
            log::warn!("poison: crash report dropped because the queue is full");
        }
    }

    /// Applies another guard's report.
    pub(super) fn merge(&self, report: &CrashReport) {
        let now = self.clock.now();
        self.lock().suspects.merge(now, report);
    }

    fn lock(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Identifies a call as a suspect in case the backend server crashes.
///
/// A caller that retries a poisoned request uses another identifier. So the fingerprint covers the
/// content: calling service, method, path and body.
pub(super) fn as_suspect(message: &Message, caller_service: &str, id: &str) -> RunningRequest {
    let path = message.path_and_query.as_str();
    let method = message.method.as_str();
    RunningRequest {
        request: RequestId::of_key("", id),
        fingerprint: fingerprint_of(caller_service, method, path, &message.body),
    }
}

/// Sends crash reports to the other targets of the service that they are about.
pub(super) async fn forward_reports(
    mut reports: Receiver<SuspectsReport>,
    traffic: Arc<Traffic>,
    control: Arc<ControlHandle>,
) {
    while let Some(report) = reports.recv().await {
        send_report(&traffic, &control, report).await;
    }
}

async fn send_report(
    traffic: &Arc<Traffic>,
    control: &Arc<ControlHandle>,
    suspects_report: SuspectsReport,
) {
    let view = traffic.view.load_full();
    let others = view.targets(&suspects_report.service).iter();
    let others = others.filter(|target| target.node != traffic.settings.node);
    let deliveries = others.map(|target| {
        let delivery = control
            .clients
            .report_suspects(target.control_address, suspects_report.clone());
        async {
            if let Err(error) = delivery.await {
                log::warn!(
                    "poison: crash report not delivered, peer={} error={error}",
                    target.node
                );
            }
        }
    });
    join_all(deliveries).await;
}

/// Applies a peer's report. A report on another service than the local one is dropped.
pub(super) fn apply_peer_report(
    watch: &PoisonWatch,
    local_service: &str,
    suspects_report: &SuspectsReport,
) {
    if &*suspects_report.service == local_service {
        watch.merge(&suspects_report.report);
    } else {
        log::warn!(
            "poison: crash report for another service dropped, service={}",
            suspects_report.service
        );
    }
}
