//! Decides which requests may not run any more because they seem to crash backend servers.

use std::hash::Hash;

use crate::core::FastMap;
use crate::core::RequestId;
use crate::core::TimeMs;
use crate::poison::crash_history::CrashHistory;
use crate::poison::crash_report::Clearance;
use crate::poison::crash_report::CrashId;
use crate::poison::crash_report::CrashReport;
use crate::poison::crash_report::RunningRequest;

/// How many clearances one report carries at most.
const MAX_REPORTED_CLEARANCES: usize = 256;

/// The bounds of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonSettings {
    /// How long a crash is held against a suspect.
    pub keep_ms: u64,
    /// How many requests, and how many contents, are remembered at most.
    pub max_suspects: usize,
    /// How many crashes refuse idempotent work.
    pub crashes: usize,
    /// How many crashes refuse non-idempotent work.
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
    /// It, or one of the same content, was running at too many crashes.
    Refused,
}

/// The suspects of one service, as one guard knows them.
///
/// The failure: one request crashes each backend server that runs it, and its caller sends it
/// again through every node in turn, under new identifiers. What shows is one backend server
/// after the other crashing. The guard holds because a crash is reported to all targets before the
/// caller is answered, so the next try meets a guard that knows of it.
///
/// Other requests were running beside it. What ran to its end after a crash did not cause it, so
/// its content is cleared of it; the clearances travel with the next crash report, which is the
/// moment when they matter.
#[derive(Debug)]
pub struct Suspects {
    settings: PoisonSettings,
    requests: FastMap<RequestId, CrashHistory>,
    contents: FastMap<u64, CrashHistory>,
}

impl Suspects {
    /// Nobody is suspected yet.
    pub fn new(settings: PoisonSettings) -> Self {
        Self {
            settings,
            requests: FastMap::default(),
            contents: FastMap::default(),
        }
    }

    /// Whether nobody is suspected, so that the way of an ordinary call ends here.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// How many contents are remembered.
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Notes that the own backend server crashed. The report goes to every other target of the
    /// service before any of the running requests is answered.
    pub fn note_crash(
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

    /// Takes in another guard's report. Reports may come twice and in any order.
    pub fn merge(&mut self, now: TimeMs, report: &CrashReport) {
        self.expire(now);
        for cleared in &report.cleared {
            let crashes = self.contents.entry(cleared.fingerprint).or_default();
            crashes.clear(now, cleared.crash);
        }
        for running in &report.running {
            let of_content = self.contents.entry(running.fingerprint).or_default();
            of_content.note(now, report.crash);
            let of_request = self.requests.entry(running.request).or_default();
            of_request.note(now, report.crash);
        }
        shrink(&mut self.contents, self.settings.max_suspects);
        shrink(&mut self.requests, self.settings.max_suspects);
    }

    /// Notes that a request of this content ran to its end here, whatever its status.
    ///
    /// Returns whether the content was suspected until now.
    pub fn note_success(&mut self, fingerprint: u64) -> bool {
        let Some(crashes) = self.contents.get_mut(&fingerprint) else {
            return false;
        };
        let was_held = crashes.held().next().is_some();
        crashes.clear_all();
        was_held
    }

    /// Whether a request may run. It is asked when the request arrives and again when it leaves
    /// the queue, since a report may have come in between.
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
        let crashes = self.crashes_held(now, request, fingerprint);
        let limit = match non_idempotent {
            true => self.settings.crashes_non_idempotent,
            false => self.settings.crashes,
        };
        match crashes < limit {
            true => Verdict::Allowed,
            false => Verdict::Refused,
        }
    }

    /// How many crashes count against the request itself or against its content.
    fn crashes_held(&self, now: TimeMs, request: RequestId, fingerprint: u64) -> usize {
        let fresh = |crashes: &&CrashHistory| now.since(crashes.last_at()) < self.settings.keep_ms;
        let of_content = self.contents.get(&fingerprint).filter(fresh);
        let of_request = self.requests.get(&request).filter(fresh);
        let is_innocent = |crash: &CrashId| of_content.is_some_and(|own| own.is_cleared(*crash));
        let mut held: Vec<CrashId> = of_content
            .into_iter()
            .flat_map(CrashHistory::held)
            .collect();
        let further = of_request.into_iter().flat_map(CrashHistory::held);
        held.extend(further.filter(|crash| !is_innocent(crash)));
        held.sort_unstable();
        held.dedup();
        held.len()
    }

    /// What is known to the good of the contents that ran at this crash, and then of others.
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

/// Drops those with the fewest crashes held, and among them the oldest, until the rest fits: a
/// flood of harmless suspects must not push out one that is refused.
fn shrink<K: Copy + Eq + Hash>(suspects: &mut FastMap<K, CrashHistory>, max: usize) {
    let Some(excess) = suspects.len().checked_sub(max + 1) else {
        return;
    };
    let weight = |crashes: &CrashHistory| (crashes.held().count(), crashes.last_at());
    let mut weights: Vec<_> = suspects
        .iter()
        .map(|(&key, crashes)| (weight(crashes), key))
        .collect();
    weights.select_nth_unstable_by_key(excess, |&(weight, _)| weight);
    for (_, key) in &weights[..=excess] {
        suspects.remove(key);
    }
}
