//! Admission of each account's requests at one entry.

use crate::accounts::AccountId;
use crate::accounts::Allowance;
use crate::accounts::AllowanceBound;
use crate::accounts::AllowanceReply;
use crate::accounts::DecayedRate;
use crate::accounts::UsageCount;
use crate::accounts::UsageReport;
use crate::core::FastMap;
use crate::core::TimeMs;

/// Maximum number of tracked accounts. Beyond it, those idle for longest are evicted.
const MAX_ACCOUNTS: usize = 4_096;
/// How often an entry sends a usage report, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 300;
/// Shortest time between two reports, in milliseconds, while requests arrive faster than usual or
/// no reply has arrived yet.
const EARLY_REPORT_INTERVAL_MS: u64 = 100;
/// A report is sent early when one account has sent at least this many requests since the last
/// report, and at least `EARLY_REPORT_FACTOR` times as many as its usual rate gives.
const EARLY_REPORT_COUNT: f32 = 3.0;
const EARLY_REPORT_FACTOR: f32 = 3.0;
/// Number of consecutive reports that contain a changed count, since one of them may be lost.
const REPORTS_PER_CHANGE: u32 = 2;
/// How long a reply is valid, in milliseconds. An entry whose last reply is older is isolated: it
/// admits its equal share of the allowance, without coordination.
const REPLY_VALID_MS: u64 = 1_500;
/// Latest time after a start, in milliseconds, at which the first reply arrives if any coordinator
/// is reachable. An entry without a reply is isolated from then on.
const FIRST_REPLY_MS: u64 = 3_000;
/// Typical time until the coordinators of a restarted fleet send their first replies, in
/// milliseconds. It determines the fraction of requests that an entry admits before its first
/// reply.
const FIRST_REPLY_TYPICAL_MS: f32 = 2_000.0;
/// Largest demand of an account for which that fraction keeps the bound, as a multiple of the
/// allowance.
const SURGE_FACTOR: f32 = 6.0;
/// Time constant of the usual rate of an account at one entry, in milliseconds.
const USUAL_RATE_TIME_CONSTANT_MS: f32 = 4_000.0;
/// Smallest number of nodes among which an isolated entry divides an allowance. It may have
/// discovered only some of the nodes.
const MIN_NODES: usize = 8;
/// Maximum credit that an isolated entry saves for an account, in requests.
const MAX_CREDIT: f32 = 1.5;
/// Bounds of `retry_after_ms`.
const MIN_RETRY_AFTER_MS: f32 = 200.0;
const MAX_RETRY_AFTER_MS: f32 = 3_000.0;

/// The error for a request that exceeds its account's allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceExceeded {
    /// When the next request can be admitted at the present rates, in milliseconds.
    pub retry_after_ms: u64,
    /// The fraction of the account's requests admitted here, in thousandths.
    pub admitted_permille: u16,
    /// Age of the coordinator's reply with this fraction; `None` if the entry computed it itself.
    pub reply_age_ms: Option<u64>,
}

/// The traffic of one account at an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountUse {
    pub account: AccountId,
    /// Recent requests per second.
    pub per_s: f32,
    /// The fraction to admit according to the last reply of a coordinator, in thousandths.
    pub admitted_permille: u16,
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountState {
    wanted: u32,
    used: i32,
    /// Number of further reports that carry the counts.
    pending_reports: u32,
    /// Number of requests since the last report.
    requests_since_report: f32,
    usual_rate: DecayedRate,
    /// Credit toward the next admitted request; one request costs 1.
    credit: f32,
    credited_at: TimeMs,
    last_seen: TimeMs,
}

/// Admission control for client accounts at one entry.
///
/// A single entry receives only a few tenths of a request per second of an account, and what other
/// entries admit is unknown to it. Without coordination, all entries together would admit far more
/// than the allowance. Entries therefore report their usage to the coordinators of their failure
/// domain, which reply with the fraction to admit. An account far below its allowance is not
/// limited. An entry without a valid reply admits its equal share.
#[derive(Clone, Debug)]
pub struct EntryAllowances {
    bound: AllowanceBound,
    process: u32,
    started: TimeMs,
    /// The whole system starts for the first time, so nothing was used before.
    is_first_start: bool,
    accounts: FastMap<AccountId, AccountState>,
    /// When a coordinator last replied.
    last_reply_at: Option<TimeMs>,
    admitted_permille: FastMap<AccountId, u16>,
    last_report_at: TimeMs,
    /// Sequence number of the last report.
    sequence: u32,
    is_report_urgent: bool,
}

impl EntryAllowances {
    /// How long after its last reply an entry may admit its equal share, in milliseconds. After
    /// other nodes have declared a node dead, they wait at least this long before they redistribute
    /// its share.
    pub const SHARE_VALID_MS: u64 = 20_000;

    /// After this time without a reply, in milliseconds, the entry requests replies from the other
    /// coordinator of its failure domain as well.
    pub const REPLY_MISSED_MS: u64 = 700;

    /// Creates an entry without any usage. `process` is a random number for this process.
    pub fn new(bound: AllowanceBound, is_first_start: bool, process: u32, now: TimeMs) -> Self {
        Self {
            bound,
            process,
            started: now,
            is_first_start,
            accounts: FastMap::default(),
            last_reply_at: None,
            admitted_permille: FastMap::default(),
            last_report_at: now,
            sequence: 0,
            is_report_urgent: false,
        }
    }

    /// Replaces the bound.
    pub fn set_bound(&mut self, bound: AllowanceBound) {
        self.bound = bound;
    }

    /// Decides whether a request is admitted and counts it. `nodes` is the number of known nodes,
    /// and `random` is uniform in 0..1.
    ///
    /// # Errors
    /// When the request exceeds the allowance.
    pub fn admit(
        &mut self,
        now: TimeMs,
        account: AccountId,
        allowance: Allowance,
        nodes: usize,
        random: f32,
    ) -> Result<(), AllowanceExceeded> {
        self.evict_if_full(now);
        let rule = self.rule_for(now, account, allowance, nodes);
        let state = self
            .accounts
            .entry(account)
            .or_insert_with(|| AccountState {
                // A random credit keeps entries that start together from all admitting their first
                // request at once.
                credit: random,
                credited_at: now,
                ..AccountState::default()
            });
        state.record_request(now);
        self.is_report_urgent |= state.is_surging(now);
        let is_admitted = match rule {
            AdmissionRule::Unlimited => true,
            AdmissionRule::Fraction { fraction, .. } => state.take_fraction(now, fraction),
            AdmissionRule::EqualShare { per_s } => state.take_equal_share(now, per_s),
        };
        if is_admitted {
            state.used += 1;
            return Ok(());
        }
        Err(state.exceeded(now, rule))
    }

    /// Undoes the usage of an admitted request that reached no backend server.
    pub fn refund(&mut self, account: AccountId) {
        if let Some(state) = self.accounts.get_mut(&account) {
            state.used -= 1;
            state.pending_reports = REPORTS_PER_CHANGE;
            state.credit = (state.credit + 1.0).min(MAX_CREDIT);
        }
    }

    /// Returns the usage report if one is due.
    pub fn report(&mut self, now: TimeMs) -> Option<UsageReport> {
        let since_ms = now.since(self.last_report_at);
        // Before its first reply an entry admits only a fraction of requests, so it reports often.
        let due_ms = match self.is_report_urgent || self.last_reply_at.is_none() {
            true => EARLY_REPORT_INTERVAL_MS,
            false => REPORT_INTERVAL_MS,
        };
        if since_ms < due_ms {
            return None;
        }
        self.last_report_at = now;
        self.sequence = self.sequence.wrapping_add(1);
        self.is_report_urgent = false;
        let mut counts = Vec::new();
        for (account, state) in &mut self.accounts {
            state.requests_since_report = 0.0;
            if state.pending_reports > 0 {
                state.pending_reports -= 1;
                counts.push(UsageCount {
                    account: *account,
                    wanted: state.wanted,
                    used: state.used,
                });
            }
        }
        Some(UsageReport {
            process: self.process,
            sequence: self.sequence,
            wants_reply: true,
            counts,
        })
    }

    /// Applies a coordinator's reply.
    pub fn apply_reply(&mut self, now: TimeMs, reply: &AllowanceReply) {
        self.last_reply_at = Some(now);
        let limited = reply.limited.iter();
        self.admitted_permille = limited
            .map(|admitted| (admitted.account, admitted.permille))
            .collect();
    }

    /// The traffic of each account here, the busiest first, and the fraction that is admitted.
    pub fn uses(&self, now: TimeMs) -> Vec<AccountUse> {
        let uses = self.accounts.iter().map(|(account, state)| AccountUse {
            account: *account,
            per_s: state.usual_rate.per_s(now, USUAL_RATE_TIME_CONSTANT_MS),
            admitted_permille: self
                .admitted_permille
                .get(account)
                .copied()
                .unwrap_or(1_000),
        });
        let mut uses: Vec<AccountUse> = uses.collect();
        uses.sort_unstable_by(|one, other| other.per_s.total_cmp(&one.per_s));
        uses
    }

    /// When a coordinator last replied.
    pub fn last_reply_at(&self) -> Option<TimeMs> {
        self.last_reply_at
    }

    fn rule_for(
        &self,
        now: TimeMs,
        account: AccountId,
        allowance: Allowance,
        nodes: usize,
    ) -> AdmissionRule {
        match self.last_reply_at {
            Some(at) if now.since(at) < REPLY_VALID_MS => self.rule_from_reply(at, account),
            None if now.since(self.started) < FIRST_REPLY_MS => self.rule_before_reply(allowance),
            _ => AdmissionRule::EqualShare {
                per_s: self.equal_share_per_s(now, allowance, nodes),
            },
        }
    }

    /// The equal share of an isolated entry.
    ///
    /// After [`Self::SHARE_VALID_MS`] it is 0. Otherwise the share would be used twice: by an entry
    /// that is partitioned from all others, and by the others once they have declared its node dead
    /// and redistributed the share. The isolated entry stops before that.
    fn equal_share_per_s(&self, now: TimeMs, allowance: Allowance, nodes: usize) -> f32 {
        let isolated_ms = now.since(self.last_reply_at.unwrap_or(self.started));
        if isolated_ms >= Self::SHARE_VALID_MS {
            return 0.0;
        }
        allowance.rate_per_s / nodes.max(MIN_NODES) as f32
    }

    fn rule_before_reply(&self, allowance: Allowance) -> AdmissionRule {
        if self.is_first_start {
            return AdmissionRule::Unlimited;
        }
        AdmissionRule::Fraction {
            fraction: self.fraction_before_reply(allowance),
            replied_at: None,
        }
    }

    fn rule_from_reply(&self, at: TimeMs, account: AccountId) -> AdmissionRule {
        match self.admitted_permille.get(&account) {
            Some(permille) => AdmissionRule::Fraction {
                fraction: f32::from(*permille) / 1_000.0,
                replied_at: Some(at),
            },
            None => AdmissionRule::Unlimited,
        }
    }

    /// The fraction of requests that a restarted entry admits before its first reply.
    ///
    /// The bound has to hold even if all entries restarted together while the account sends up to
    /// `SURGE_FACTOR` times its allowance. What may have been admitted in the same window before
    /// the restart, at most a burst and the rate, is therefore subtracted first.
    fn fraction_before_reply(&self, allowance: Allowance) -> f32 {
        let window_s = self.bound.window_ms as f32 / 1_000.0;
        let unanswered_s = FIRST_REPLY_TYPICAL_MS / 1_000.0;
        let rate = allowance.rate_per_s;
        let allowed = (rate * window_s + allowance.burst) * (1.0 + self.bound.overage);
        let before = allowance.burst + rate * (window_s - unanswered_s).max(0.0);
        let left = allowed + self.bound.slack - before;
        (left / (SURGE_FACTOR * unanswered_s * rate)).clamp(0.0, 1.0)
    }

    fn evict_if_full(&mut self, now: TimeMs) {
        if self.accounts.len() < MAX_ACCOUNTS {
            return;
        }
        let mut idle_ms: Vec<u64> = self
            .accounts
            .values()
            .map(|state| now.since(state.last_seen))
            .collect();
        let half = idle_ms.len() / 2;
        let (_, median_ms, _) = idle_ms.select_nth_unstable(half);
        let median_ms = *median_ms;
        self.accounts
            .retain(|_, state| now.since(state.last_seen) < median_ms);
    }
}

#[derive(Clone, Copy, Debug)]
enum AdmissionRule {
    Unlimited,
    Fraction {
        fraction: f32,
        replied_at: Option<TimeMs>,
    },
    EqualShare {
        per_s: f32,
    },
}

impl AccountState {
    fn record_request(&mut self, now: TimeMs) {
        self.wanted = self.wanted.wrapping_add(1);
        self.pending_reports = REPORTS_PER_CHANGE;
        self.requests_since_report += 1.0;
        self.usual_rate
            .record(now, 1.0, USUAL_RATE_TIME_CONSTANT_MS);
        self.last_seen = now;
    }

    fn is_surging(&self, now: TimeMs) -> bool {
        let usual = self.usual_rate.per_s(now, USUAL_RATE_TIME_CONSTANT_MS)
            * REPORT_INTERVAL_MS as f32
            / 1_000.0;
        self.requests_since_report >= EARLY_REPORT_COUNT.max(usual * EARLY_REPORT_FACTOR)
    }

    fn take_fraction(&mut self, now: TimeMs, fraction: f32) -> bool {
        self.credited_at = now;
        self.credit += fraction;
        self.take_credit()
    }

    fn take_equal_share(&mut self, now: TimeMs, per_s: f32) -> bool {
        let earned = now.since(self.credited_at) as f32 / 1_000.0 * per_s;
        self.credited_at = now;
        self.credit = (self.credit + earned).min(MAX_CREDIT.max(per_s));
        self.take_credit()
    }

    fn take_credit(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    fn exceeded(&self, now: TimeMs, rule: AdmissionRule) -> AllowanceExceeded {
        let usual_per_s = self.usual_rate.per_s(now, USUAL_RATE_TIME_CONSTANT_MS);
        let (per_s, replied_at) = match rule {
            AdmissionRule::Unlimited => (usual_per_s, None),
            AdmissionRule::Fraction {
                fraction,
                replied_at,
            } => (usual_per_s * fraction, replied_at),
            AdmissionRule::EqualShare { per_s } => (per_s, None),
        };
        let missing = (1.0 - self.credit).max(0.0);
        let wait_ms = missing * 1_000.0 / per_s.max(f32::MIN_POSITIVE);
        AllowanceExceeded {
            retry_after_ms: wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64,
            admitted_permille: (per_s / usual_per_s.max(per_s) * 1_000.0) as u16,
            reply_age_ms: replied_at.map(|at| now.since(at)),
        }
    }
}
