//! Requests that crash the local backend server, and what other guards say of theirs
//! ([docs/POISON.md](../../docs/POISON.md)).

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use futures::future::join_all;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;

use crate::control::ControlHandle;
use crate::control::Suspects as SuspectsNews;
use crate::core::Clock;
use crate::core::RequestId;
use crate::core::fingerprint_of;
use crate::poison::BrokenCalls;
use crate::poison::CrashId;
use crate::poison::CrashReport;
use crate::poison::PoisonSettings;
use crate::poison::Running;
use crate::poison::Suspects;
use crate::poison::Verdict;
use crate::traffic::call::Message;
use crate::traffic::traffic::Traffic;

/// So many crashes refuse a content. One more than at the product's own interface: there a report is
/// out before any answer, here it waits until it is certain that there was a crash, and a call whose
/// target crashed is sent to a second one meanwhile.
const CRASHES_TO_REFUSE: usize = 3;

#[derive(Debug)]
struct WatchState {
    suspects: Suspects,
    broken: BrokenCalls,
}

/// Shared by the traffic of a guard and its control calls.
#[derive(Debug)]
pub(super) struct PoisonWatch {
    clock: Clock,
    state: Mutex<WatchState>,
    reports: Sender<CrashReport>,
}

impl PoisonWatch {
    /// Nobody is suspected. Reports for other guards go to `reports`.
    pub(super) fn new(clock: Clock, reports: Sender<CrashReport>) -> Self {
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
    pub(super) fn is_allowed(&self, call: &Running) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let (request, fingerprint) = (call.request, call.fingerprint);
        state.suspects.verdict(now, request, fingerprint, false) == Verdict::Allowed
    }

    /// A call came to its end.
    pub(super) fn record_success(&self, call: &Running) {
        let mut state = self.lock();
        if !state.suspects.is_empty() && state.suspects.note_success(call.fingerprint) {
            log::info!("poison: cleared, fingerprint={:016x}", call.fingerprint);
        }
    }

    /// The connection of a call to the backend server broke.
    pub(super) fn record_broken(&self, call: Running) {
        let now = self.clock.now();
        self.lock().broken.note(now, call);
    }

    /// The backend server has ended, one way or another: calls that broke just before were running
    /// when it did.
    pub(super) fn record_backend_exit(&self) {
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
        let report = state.suspects.note_crash(now, CrashId::random(), &running);
        if self.reports.try_send(report).is_err() {
            log::warn!("poison: a report was dropped, too many wait");
        }
    }

    /// Takes in another guard's report.
    pub(super) fn merge(&self, report: &CrashReport) {
        let now = self.clock.now();
        self.lock().suspects.merge(now, report);
    }

    fn lock(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The call as a suspect, should the backend server crash. Whoever sends a poisoned request again
/// gives it another identifier, so its content tells: where it comes from, method, path and body.
pub(super) fn as_suspect(message: &Message, caller_service: &str, id: &str) -> Running {
    let path = message.path_and_query.as_str();
    let method = message.method.as_str();
    Running {
        request: RequestId::of_key("", id),
        fingerprint: fingerprint_of(caller_service, method, path, &message.body),
    }
}

/// Passes reports on to the other targets of the local service.
pub(super) async fn forward_reports(
    mut reports: Receiver<CrashReport>,
    traffic: Arc<Traffic>,
    control: Arc<ControlHandle>,
) {
    while let Some(report) = reports.recv().await {
        send_report(&traffic, &control, report).await;
    }
}

async fn send_report(traffic: &Arc<Traffic>, control: &Arc<ControlHandle>, report: CrashReport) {
    let service = &traffic.settings.service;
    let view = traffic.view.load_full();
    let others = view.targets(service).iter();
    let others = others.filter(|target| target.node != traffic.settings.node);
    let deliveries = others.map(|target| {
        let notice = SuspectsNews {
            service: service.clone(),
            report: report.clone(),
        };
        let deliveries = control
            .clients
            .report_suspects(target.control_address, notice);
        async {
            if let Err(error) = deliveries.await {
                log::warn!(
                    "poison: a report was not taken in, peer={} error={error}",
                    target.node
                );
            }
        }
    });
    join_all(deliveries).await;
}

/// The service that a report is about is the local one, or its sender is mistaken.
pub(super) fn apply_peer_report(watch: &PoisonWatch, local_service: &str, notice: &SuspectsNews) {
    if &*notice.service == local_service {
        watch.merge(&notice.report);
    } else {
        log::warn!(
            "poison: a report for another service, service={}",
            notice.service
        );
    }
}
