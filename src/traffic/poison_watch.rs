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
use crate::poison::RunningRequest;
use crate::poison::Suspects;
use crate::poison::Verdict;
use crate::traffic::call::Message;
use crate::traffic::traffic::Traffic;

/// So many crashes refuse a content. One more than at the product's own interface: there a report is
/// out before any answer, here it waits until it is certain that there was a crash, and a call whose
/// target crashed is sent to a second one meanwhile.
const CRASHES: usize = 3;

#[derive(Debug)]
struct Known {
    suspects: Suspects,
    broken: BrokenCalls,
}

/// Shared by the traffic of a guard and its control calls.
#[derive(Debug)]
pub(super) struct PoisonWatch {
    clock: Clock,
    known: Mutex<Known>,
    reports: Sender<CrashReport>,
}

impl PoisonWatch {
    /// Nobody is suspected. Reports for other guards go to `reports`.
    pub(super) fn new(clock: Clock, reports: Sender<CrashReport>) -> Self {
        let settings = PoisonSettings {
            crashes: CRASHES,
            crashes_non_idempotent: CRASHES,
            ..PoisonSettings::default()
        };
        Self {
            clock,
            known: Mutex::new(Known {
                suspects: Suspects::new(settings),
                broken: BrokenCalls::default(),
            }),
            reports,
        }
    }

    /// Whether a call may run.
    pub(super) fn is_harmless(&self, call: &RunningRequest) -> bool {
        let now = self.clock.now();
        let known = self.lock();
        let (request, fingerprint) = (call.request, call.fingerprint);
        known.suspects.verdict(now, request, fingerprint, false) == Verdict::Allowed
    }

    /// A call came to its end.
    pub(super) fn note_success(&self, call: &RunningRequest) {
        let mut known = self.lock();
        if !known.suspects.is_empty() && known.suspects.record_completion(call.fingerprint) {
            log::info!("poison: cleared, fingerprint={:016x}", call.fingerprint);
        }
    }

    /// The connection of a call to the backend server broke.
    pub(super) fn note_broken(&self, call: RunningRequest) {
        let now = self.clock.now();
        self.lock().broken.record(now, call);
    }

    /// The backend server has ended, one way or another: calls that broke just before were running
    /// when it did.
    pub(super) fn note_ended(&self) {
        let now = self.clock.now();
        let mut known = self.lock();
        let running = known.broken.take(now);
        if running.is_empty() {
            return;
        }
        log::warn!(
            "poison: the backend server crashed, running={}",
            running.len()
        );
        let report = known
            .suspects
            .record_crash(now, CrashId::random(), &running);
        if self.reports.try_send(report).is_err() {
            log::warn!("poison: a report was dropped, too many wait");
        }
    }

    /// Takes in another guard's report.
    pub(super) fn merge(&self, report: &CrashReport) {
        let now = self.clock.now();
        self.lock().suspects.merge(now, report);
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The call as a suspect, should the backend server crash. Whoever sends a poisoned request again
/// gives it another identifier, so its content tells: where it comes from, method, path and body.
pub(super) fn as_suspect(message: &Message, caller_service: &str, id: &str) -> RunningRequest {
    let path = message.path_and_query.as_str();
    let method = message.method.as_str();
    RunningRequest {
        request: RequestId::of_key("", id),
        fingerprint: fingerprint_of(caller_service, method, path, &message.body),
    }
}

/// Passes reports on to the other targets of the local service.
pub(super) async fn tell_targets(
    mut reports: Receiver<CrashReport>,
    traffic: Arc<Traffic>,
    control: Arc<ControlHandle>,
) {
    while let Some(report) = reports.recv().await {
        tell(&traffic, &control, report).await;
    }
}

async fn tell(traffic: &Arc<Traffic>, control: &Arc<ControlHandle>, report: CrashReport) {
    let service = &traffic.settings.service;
    let view = traffic.view.load_full();
    let others = view.targets(service).iter();
    let others = others.filter(|target| target.node != traffic.settings.node);
    let told = others.map(|target| {
        let news = SuspectsNews {
            service: service.clone(),
            report: report.clone(),
        };
        let told = control
            .clients
            .report_suspects(target.control_address, news);
        async {
            if let Err(error) = told.await {
                log::warn!(
                    "poison: a report was not taken in, peer={} error={error}",
                    target.node
                );
            }
        }
    });
    join_all(told).await;
}

/// The service that a report is about is the local one, or its sender is mistaken.
pub(super) fn take_report(watch: &PoisonWatch, local_service: &str, news: &SuspectsNews) {
    if &*news.service == local_service {
        watch.merge(&news.report);
    } else {
        log::warn!(
            "poison: a report for another service, service={}",
            news.service
        );
    }
}
