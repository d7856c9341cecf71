//! Notices crashes of the local backend server and tells the other targets what was running.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::control::Suspects as SuspectsNews;
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

/// How long the backend server is given to take a connection and keep it.
const PROBE: Duration = Duration::from_millis(40);
/// How long the other targets are given to take in a report, before the caller is answered.
const REPORT: Duration = Duration::from_millis(300);

/// The crash that was noticed last.
struct LastCrash {
    id: CrashId,
    /// When it was noticed, in microseconds: what was sent before broke in it.
    at_us: u64,
    running: Vec<RunningRequest>,
}

/// The suspects of the local service.
pub struct PoisonGuard {
    suspects: Mutex<Suspects>,
    /// Held while a crash is reported: nobody who ran in it is answered before.
    last_crash: tokio::sync::Mutex<Option<LastCrash>>,
}

impl PoisonGuard {
    /// Nobody is suspected.
    pub fn new() -> Self {
        Self {
            suspects: Mutex::new(Suspects::new(PoisonSettings::default())),
            last_crash: tokio::sync::Mutex::new(None),
        }
    }

    /// Takes in the report of another target.
    pub fn merge(&self, now: TimeMs, news: &SuspectsNews) {
        self.lock().merge(now, &news.report);
    }

    pub(super) fn verdict(&self, now: TimeMs, live: &LiveCall, non_idempotent: bool) -> Verdict {
        let suspects = self.lock();
        suspects.verdict(now, live.request, live.fingerprint, non_idempotent)
    }

    pub(super) fn note_success(&self, live: &LiveCall) {
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

/// Called while a call that broke still counts as running. If the backend server crashed, all
/// targets of the service know what was running when this returns, or were given the time to.
pub(super) async fn backend_broke(
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
    let this = live.running();
    let id = match last.as_mut() {
        Some(crash) if since_us <= crash.at_us => {
            if crash.running.contains(&this) {
                return;
            }
            crash.running.push(this);
            crash.id
        }
        // It met a backend server that was still down. Held against it, every call that does so
        // would be taken for the cause, and refused after two of them.
        Some(_) if is_down(node) => return,
        _ => last.insert(new_crash(node, this)).id,
    };
    // Nothing more is sent there until it announces itself again.
    node.inputs.local.send_if_modified(LocalBackend::went_down);
    let running = last.as_ref().map_or(&[][..], |crash| &crash.running);
    log::warn!(
        "poison: the backend server crashed, running={}",
        running.len()
    );
    let now = node.inputs.clock.now();
    let report = poison.lock().record_crash(now, id, running);
    tell_targets(node, report).await;
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

/// Whether the backend server takes a connection and keeps it. One that crashed refuses it; a
/// relay in between takes it and closes it at once.
async fn is_alive(address: SocketAddr) -> bool {
    let Ok(Ok(mut stream)) = timeout(PROBE, TcpStream::connect(address)).await else {
        return false;
    };
    let mut byte = [0];
    // Nothing was asked, so a live server stays silent.
    timeout(PROBE, stream.read(&mut byte)).await.is_err()
}

async fn tell_targets(node: &Node, report: crate::poison::CrashReport) {
    let Some(announced) = node.inputs.local.borrow().announced.clone() else {
        return;
    };
    let view = node.inputs.view.load_full();
    let news = SuspectsNews {
        service: announced.service.clone(),
        report,
    };
    let targets = view.targets(&announced.service).iter();
    let others = targets.filter(|target| target.node != node.settings.node);
    let told = others.map(|target| (node.inputs.report_suspects)(target.control_address, &news));
    if timeout(REPORT, join_all(told)).await.is_err() {
        log::warn!("poison: not all targets took in the report in time");
    }
}
