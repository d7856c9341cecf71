//! Detects crashes of the local backend server and reports the running requests to the other
//! targets.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::control::Suspects as SuspectsReport;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::node::LocalBackend;
use crate::node::Node;
use crate::node::live_calls::LiveCall;
use crate::poison::CrashId;
use crate::poison::PoisonSettings;
use crate::poison::RunningRequest;
use crate::poison::Suspects;
use crate::poison::Verdict;

/// How long the backend server may take to accept a connection, and then has to keep it open.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);
/// How long the other targets may take to accept a report before the caller is answered.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// The crash detected last.
struct LastCrash {
    id: CrashId,
    /// When it was detected, in microseconds. Broken calls that were sent earlier belong to it.
    at_us: u64,
    running: Vec<RunningRequest>,
}

/// The suspected requests of the local service.
pub struct PoisonGuard {
    suspects: Mutex<Suspects>,
    /// Locked while a crash is reported, so that no call that broke in it is answered earlier.
    last_crash: tokio::sync::Mutex<Option<LastCrash>>,
}

impl PoisonGuard {
    /// Creates a guard that suspects no request.
    pub fn new() -> Self {
        Self {
            suspects: Mutex::new(Suspects::new(PoisonSettings::default())),
            last_crash: tokio::sync::Mutex::new(None),
        }
    }

    /// Merges the report of another target.
    pub fn merge(&self, now: TimeMs, message: &SuspectsReport) {
        self.lock().merge(now, &message.report);
    }

    pub(super) fn verdict(&self, now: TimeMs, live: &LiveCall, non_idempotent: bool) -> Verdict {
        let suspects = self.lock();
        suspects.verdict(now, live.request, live.fingerprint, non_idempotent)
    }

    pub(super) fn record_success(&self, live: &LiveCall) {
        let mut suspects = self.lock();
        if !suspects.is_empty() && suspects.record_completion(live.fingerprint) {
            log::info!("poison: cleared, fingerprint={:016x}", live.fingerprint);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().expect("no holder panics")
    }
}

impl Default for PoisonGuard {
    fn default() -> Self {
        Self::new()
    }
}

/// Handles a call whose connection to the backend server broke. The call must still be registered
/// as live. If the backend server crashed, the running requests are reported to all targets of the
/// service before this returns, within [`REPORT_TIMEOUT`].
pub(super) async fn handle_broken_call(
    node: &Node,
    address: SocketAddr,
    live: &LiveCall,
    since_us: u64,
) {
    if is_alive(address).await {
        return;
    }
    let poison = &node.inputs.poison;
    let mut last = poison.last_crash.lock().await;
    let this = live.running_request();
    let id = match last.as_mut() {
        Some(crash) if since_us <= crash.at_us => {
            if crash.running.contains(&this) {
                return;
            }
            crash.running.push(this);
            crash.id
        }
        // The call was sent to a backend server that was still down, so it did not cause a crash.
        // If it counted as a suspect, a request that was sent to it twice would be refused as
        // poison.
        Some(_) if is_down(node) => return,
        _ => last.insert(new_crash(node, this)).id,
    };
    // No further calls are sent until the backend server announces itself again.
    node.inputs.local.send_if_modified(LocalBackend::mark_down);
    let running = last.as_ref().map_or(&[][..], |crash| &crash.running);
    log::warn!(
        "poison: the backend server crashed, running={}",
        running.len()
    );
    let now = node.inputs.clock.now();
    let report = poison.lock().record_crash(now, id, running);
    notify_targets(node, report).await;
}

fn is_down(node: &Node) -> bool {
    node.inputs.local.borrow().state() == TargetState::Starting
}

fn new_crash(node: &Node, this: RunningRequest) -> LastCrash {
    let mut running = node.live_calls.running();
    if !running.contains(&this) {
        running.push(this);
    }
    LastCrash {
        id: CrashId::random(),
        at_us: node.inputs.clock.now_us(),
        running,
    }
}

/// Whether the backend server accepts a connection and keeps it open. A crashed one refuses it, and
/// a relay in between accepts it and closes it at once.
async fn is_alive(address: SocketAddr) -> bool {
    let Ok(Ok(mut stream)) = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    let mut byte = [0];
    // No request was sent, so a running server sends nothing and the read times out.
    timeout(PROBE_TIMEOUT, stream.read(&mut byte))
        .await
        .is_err()
}

async fn notify_targets(node: &Node, report: crate::poison::CrashReport) {
    let Some(announced) = node.inputs.local.borrow().announced.clone() else {
        return;
    };
    let view = node.inputs.view.load_full();
    let message = SuspectsReport {
        service: announced.service.clone(),
        report,
    };
    let targets = view.targets(&announced.service).iter();
    let others = targets.filter(|target| target.node != node.settings.node);
    let reports =
        others.map(|target| (node.inputs.report_suspects)(target.control_address, &message));
    if timeout(REPORT_TIMEOUT, join_all(reports)).await.is_err() {
        log::warn!("poison: some targets did not accept the crash report in time");
    }
}
