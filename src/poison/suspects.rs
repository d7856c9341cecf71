//! Decides which requests are refused because they seem to crash backend servers.

use std::hash::Hash;

use crate::core::FastMap;
use crate::core::RequestId;
use crate::core::TimeMs;
use crate::poison::crash_history::CrashHistory;
use crate::poison::crash_report::Clearance;
use crate::poison::crash_report::CrashId;
use crate::poison::crash_report::CrashReport;
use crate::poison::crash_report::RunningRequest;

/// Maximum number of clearances in one report.
const MAX_REPORTED_CLEARANCES: usize = 256;

/// Limits of the suspect table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonSettings {
    /// How long a crash counts against a suspect.
    pub keep_ms: u64,
    /// Maximum number of requests, and of contents, that are kept.
    pub max_suspects: usize,
    /// Number of crashes after which idempotent requests are refused.
    pub crashes: usize,
    /// Number of crashes after which non-idempotent requests are refused.
    pub crashes_non_idempotent: usize,
}

impl Default for PoisonSettings {
    fn default() -> Self {
        Self {
            keep_ms: 10 * 60 * 1000,
            max_suspects: 4_096,
            crashes: 2,
            crashes_non_idempotent: 1,
        }
    }
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Allowed,
    /// The request, or one with the same content, was running at too many crashes.
    Refused,
}

/// The suspects of one service at one guard, the node beside a backend server.
///
/// One request may crash each backend server that runs it, while its caller sends it again through
/// every node in turn under new identifiers. The backend servers then crash one after the other. To
/// stop this, a crash is reported to all targets before the caller gets an answer, so the report
/// reaches the next guard before the next attempt does.
///
/// Other requests were running at the same time. Content that ran to completion after a crash did
/// not cause it, so it is cleared of that crash. The clearances are sent with the next crash
/// report, because only another crash makes them matter.
#[derive(Debug)]
pub struct Suspects {
    settings: PoisonSettings,
    requests: FastMap<RequestId, CrashHistory>,
    contents: FastMap<u64, CrashHistory>,
}

impl Suspects {
    /// Creates an empty table.
    pub fn new(settings: PoisonSettings) -> Self {
        Self {
            settings,
            requests: FastMap::default(),
            contents: FastMap::default(),
        }
    }

    /// Whether nothing is suspected, so that an ordinary call needs no further check. Each crash
    /// adds a content for every request, so it is enough to check the contents.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// The number of contents that are kept.
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Records a crash of the local backend server. The report has to be sent to every other target
    /// of the service before any of the running requests is answered.
    pub fn record_crash(
        &mut self,
        now: TimeMs,
        crash: CrashId,
        running: &[RunningRequest],
    ) -> CrashReport {
        let report = CrashReport {
            crash,
            running: running.to_vec(),
            cleared: self.clearances(running),
        };
        self.merge(now, &report);
        report
    }

    /// Merges another guard's report. Reports may arrive twice and in any order.
    pub fn merge(&mut self, now: TimeMs, report: &CrashReport) {
        self.expire(now);
        for cleared in &report.cleared {
            let crashes = self.contents.entry(cleared.fingerprint).or_default();
            crashes.clear(now, cleared.crash);
        }
        for running in &report.running {
            let of_content = self.contents.entry(running.fingerprint).or_default();
            of_content.record(now, report.crash);
            let of_request = self.requests.entry(running.request).or_default();
            of_request.record(now, report.crash);
        }
        shrink(&mut self.contents, self.settings.max_suspects);
        shrink(&mut self.requests, self.settings.max_suspects);
    }

    /// Records that a request with this content ran to completion here, whatever its status.
    ///
    /// Returns whether the content was suspected until now.
    pub fn record_completion(&mut self, fingerprint: u64) -> bool {
        let Some(crashes) = self.contents.get_mut(&fingerprint) else {
            return false;
        };
        let was_suspected = crashes.uncleared().next().is_some();
        crashes.clear_all();
        was_suspected
    }

    /// Decides whether a request may run. This is checked when the request arrives and again when
    /// it leaves the queue, since a report may have arrived in between.
    pub fn verdict(
        &self,
        now: TimeMs,
        request: RequestId,
        fingerprint: u64,
        non_idempotent: bool,
    ) -> Verdict {
        if self.is_empty() {
            return Verdict::Allowed;
        }
        let crashes = self.counted_crashes(now, request, fingerprint);
        let limit = match non_idempotent {
            true => self.settings.crashes_non_idempotent,
            false => self.settings.crashes,
        };
        match crashes < limit {
            true => Verdict::Allowed,
            false => Verdict::Refused,
        }
    }

    /// The number of crashes that count against the request itself or against its content.
    fn counted_crashes(&self, now: TimeMs, request: RequestId, fingerprint: u64) -> usize {
        let fresh = |crashes: &&CrashHistory| now.since(crashes.last_at()) < self.settings.keep_ms;
        let of_content = self.contents.get(&fingerprint).filter(fresh);
        let of_request = self.requests.get(&request).filter(fresh);
        let is_cleared_of = |crash: &CrashId| of_content.is_some_and(|own| own.is_cleared(*crash));
        let mut counted: Vec<CrashId> = of_content
            .into_iter()
            .flat_map(CrashHistory::uncleared)
            .collect();
        let by_request = of_request.into_iter().flat_map(CrashHistory::uncleared);
        counted.extend(by_request.filter(|crash| !is_cleared_of(crash)));
        counted.sort_unstable();
        counted.dedup();
        counted.len()
    }

    /// The clearances to report: first those of the contents that were running at this crash, then
    /// those of other contents.
    fn clearances(&self, running: &[RunningRequest]) -> Vec<Clearance> {
        let own = running.iter().map(|running| running.fingerprint);
        let own = own.filter_map(|fingerprint| self.contents.get_key_value(&fingerprint));
        let all = own.chain(&self.contents);
        let mut cleared: Vec<Clearance> = Vec::new();
        for (&fingerprint, crashes) in all {
            let known = crashes
                .cleared()
                .map(|crash| Clearance { fingerprint, crash });
            let fresh: Vec<Clearance> = known.filter(|each| !cleared.contains(each)).collect();
            cleared.extend(fresh);
            if cleared.len() >= MAX_REPORTED_CLEARANCES {
                break;
            }
        }
        cleared.truncate(MAX_REPORTED_CLEARANCES);
        cleared
    }

    fn expire(&mut self, now: TimeMs) {
        let keep_ms = self.settings.keep_ms;
        let fresh = |crashes: &CrashHistory| now.since(crashes.last_at()) < keep_ms;
        self.contents.retain(|_, crashes| fresh(crashes));
        self.requests.retain(|_, crashes| fresh(crashes));
    }
}

/// Evicts suspects until at most `max` are left: those with the fewest uncleared crashes first, and
/// among them the oldest. A flood of harmless suspects must not evict one that is refused.
fn shrink<K: Copy + Eq + Hash>(suspects: &mut FastMap<K, CrashHistory>, max: usize) {
    let Some(excess) = suspects.len().checked_sub(max + 1) else {
        return;
    };
    let weight = |crashes: &CrashHistory| (crashes.uncleared().count(), crashes.last_at());
    let mut weights: Vec<_> = suspects
        .iter()
        .map(|(&key, crashes)| (weight(crashes), key))
        .collect();
    weights.select_nth_unstable_by_key(excess, |&(weight, _)| weight);
    for (_, key) in &weights[..=excess] {
        suspects.remove(key);
    }
}
