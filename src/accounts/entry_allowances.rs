//! What one entry lets in of each account.

use crate::accounts::AccountId;
use crate::accounts::Allowance;
use crate::accounts::AllowanceBound;
use crate::accounts::AllowanceReply;
use crate::accounts::DecayedRate;
use crate::accounts::UsageCount;
use crate::accounts::UsageReport;
use crate::core::FastMap;
use crate::core::TimeMs;

/// Accounts followed at most; beyond it those not seen for longest go.
const MOST_ACCOUNTS: usize = 4_096;
/// How often an entry reports, in milliseconds.
const REPORT_MS: u64 = 300;
/// The least time between two reports, in milliseconds, when requests come faster than usual or no word has
/// come yet.
const HASTY_REPORT_MS: u64 = 100;
/// A report goes out early after so many requests of one account and so many times those expected.
const HASTY_COUNT: f32 = 3.0;
const HASTY_FACTOR: f32 = 3.0;
/// Counts stay in so many reports after their last change: one may be lost.
const REPEATED_REPORTS: u32 = 2;
/// After this time without a word an entry is on its own, in milliseconds.
const WORD_HOLDS_MS: u64 = 1_500;
/// After a start the first word comes within this time, in milliseconds, if there is anybody to give it.
const FIRST_WORD_MS: u64 = 3_000;
/// How long a restarted fleet takes to give words, in milliseconds, for the part let in until then.
const FIRST_WORD_USUAL_MS: f32 = 2_000.0;
/// How many times its allowance an account asks for at the worst, as taken for the same.
const SURGE: f32 = 6.0;
/// Memory of an account's usual rate at one entry, in milliseconds.
const USUAL_MS: f32 = 4_000.0;
/// Nodes that there are at least, as far as a node without a word can know.
const LEAST_NODES: usize = 8;
/// An entry that is on its own saves so much at most, in requests.
const MOST_SAVED: f32 = 1.5;
/// Bounds of the time to come back, in milliseconds.
const LEAST_LATER_MS: f32 = 200.0;
const MOST_LATER_MS: f32 = 3_000.0;

/// A request that is beyond its account's allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceExceeded {
    /// When there is room again as things stand, in milliseconds.
    pub retry_after_ms: u64,
    /// The part that is let in here, in thousandths.
    pub part_permille: u16,
    /// How long ago that was told; `None` if it was not told but worked out here.
    pub told_ms_ago: Option<u64>,
}

/// What comes of one account at an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountUse {
    pub account: AccountId,
    /// Requests a second, lately.
    pub per_s: f32,
    /// The part that a keeper says to let in, in thousandths.
    pub part_permille: u16,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    wanted: u32,
    used: i32,
    /// Reports that still carry the counts.
    to_report: u32,
    /// Requests since the last report.
    fresh: f32,
    usual: DecayedRate,
    /// What is saved up toward the next request that is let in.
    credit: f32,
    credited: TimeMs,
    seen: TimeMs,
}

/// Decides at one entry.
///
/// Guards against a fleet that lets in, all entries together, far more of an account than it may: an entry
/// sees some tenths of a request a second of an account, and knows nothing of the others. It holds because
/// entries report what they see to a keeper of their failure domain, which answers with the part to let in;
/// an account far below its allowance needs none. An entry without a word lets in its equal share.
#[derive(Clone, Debug)]
pub struct EntryAllowances {
    bound: AllowanceBound,
    process: u32,
    started: TimeMs,
    /// The whole system started for the first time, so nothing was used before.
    is_first_start: bool,
    accounts: FastMap<AccountId, Known>,
    /// When a keeper last gave a word, and what it said.
    worded: Option<TimeMs>,
    parts: FastMap<AccountId, u16>,
    reported: TimeMs,
    /// The number of the last report.
    sequence: u32,
    is_hasty: bool,
}

impl EntryAllowances {
    /// An entry that is on its own goes on with its equal share for so long after its last word, in
    /// milliseconds. Others divide the share of a node that they take for dead no sooner than so long after
    /// its death is known.
    pub const SHARE_VALID_MS: u64 = 20_000;

    /// After this time without a word another keeper is asked, in milliseconds.
    pub const REPLY_MISSED_MS: u64 = 700;

    /// Nothing is known yet. `process` is a random number for this process.
    pub fn new(bound: AllowanceBound, is_first_start: bool, process: u32, now: TimeMs) -> Self {
        Self {
            bound,
            process,
            started: now,
            is_first_start,
            accounts: FastMap::default(),
            worded: None,
            parts: FastMap::default(),
            reported: now,
            sequence: 0,
            is_hasty: false,
        }
    }

    /// Changes the bound.
    pub fn set_bound(&mut self, bound: AllowanceBound) {
        self.bound = bound;
    }

    /// Decides about a request and counts it. `nodes` is how many nodes are known, `random` uniform in 0..1.
    ///
    /// # Errors
    /// When it is beyond the allowance.
    pub fn admit(
        &mut self,
        now: TimeMs,
        account: AccountId,
        allowance: Allowance,
        nodes: usize,
        random: f32,
    ) -> Result<(), AllowanceExceeded> {
        self.evict_if_full(now);
        let standing = self.standing(now, account, allowance, nodes);
        let known = self.accounts.entry(account).or_insert_with(|| Known {
            // Entries that begin together must not all let in their first request together.
            credit: random,
            credited: now,
            ..Known::default()
        });
        known.note_wanted(now);
        self.is_hasty |= known.is_surging(now);
        let takes = match standing {
            Standing::Free => true,
            Standing::Part { part, .. } => known.take_part(now, part),
            Standing::Share { per_s } => known.take_share(now, per_s),
        };
        if takes {
            known.used += 1;
            return Ok(());
        }
        Err(known.beyond(now, standing))
    }

    /// A request that was let in has reached no backend server.
    pub fn refund(&mut self, account: AccountId) {
        if let Some(known) = self.accounts.get_mut(&account) {
            known.used -= 1;
            known.to_report = REPEATED_REPORTS;
            known.credit = (known.credit + 1.0).min(MOST_SAVED);
        }
    }

    /// The report that is due, if one is.
    pub fn report(&mut self, now: TimeMs) -> Option<UsageReport> {
        let since_ms = now.since(self.reported);
        // Until its first word an entry lets in a part only, so it asks for that often.
        let due_ms = match self.is_hasty || self.worded.is_none() {
            true => HASTY_REPORT_MS,
            false => REPORT_MS,
        };
        if since_ms < due_ms {
            return None;
        }
        self.reported = now;
        self.sequence = self.sequence.wrapping_add(1);
        self.is_hasty = false;
        let mut counts = Vec::new();
        for (account, known) in &mut self.accounts {
            known.fresh = 0.0;
            if known.to_report > 0 {
                known.to_report -= 1;
                counts.push(UsageCount {
                    account: *account,
                    wanted: known.wanted,
                    used: known.used,
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

    /// Takes in a keeper's word.
    pub fn apply_reply(&mut self, now: TimeMs, word: &AllowanceReply) {
        self.worded = Some(now);
        let parts = word.limited.iter();
        self.parts = parts.map(|part| (part.account, part.permille)).collect();
    }

    /// What comes of each account here, the busiest first, and which part of it is let in.
    pub fn uses(&self, now: TimeMs) -> Vec<AccountUse> {
        let uses = self.accounts.iter().map(|(account, known)| AccountUse {
            account: *account,
            per_s: known.usual.per_s(now, USUAL_MS),
            part_permille: self.parts.get(account).copied().unwrap_or(1_000),
        });
        let mut uses: Vec<AccountUse> = uses.collect();
        uses.sort_unstable_by(|one, other| other.per_s.total_cmp(&one.per_s));
        uses
    }

    /// When a keeper last gave a word.
    pub fn last_reply_at(&self) -> Option<TimeMs> {
        self.worded
    }

    fn standing(
        &self,
        now: TimeMs,
        account: AccountId,
        allowance: Allowance,
        nodes: usize,
    ) -> Standing {
        match self.worded {
            Some(at) if now.since(at) < WORD_HOLDS_MS => self.told(at, account),
            None if now.since(self.started) < FIRST_WORD_MS => self.before_word(allowance),
            _ => Standing::Share {
                per_s: self.share_per_s(now, allowance, nodes),
            },
        }
    }

    /// The equal share of an entry that is on its own.
    ///
    /// Guards against a share that is used twice: by nodes that are cut off from everybody, and by all others
    /// once they take those for dead. It holds because the cut-off ones end first.
    fn share_per_s(&self, now: TimeMs, allowance: Allowance, nodes: usize) -> f32 {
        let alone_ms = now.since(self.worded.unwrap_or(self.started));
        if alone_ms >= Self::SHARE_VALID_MS {
            return 0.0;
        }
        allowance.rate_per_s / nodes.max(LEAST_NODES) as f32
    }

    fn before_word(&self, allowance: Allowance) -> Standing {
        if self.is_first_start {
            return Standing::Free;
        }
        Standing::Part {
            part: self.part_before_word(allowance),
            told: None,
        }
    }

    fn told(&self, at: TimeMs, account: AccountId) -> Standing {
        match self.parts.get(&account) {
            Some(permille) => Standing::Part {
                part: f32::from(*permille) / 1_000.0,
                told: Some(at),
            },
            None => Standing::Free,
        }
    }

    /// The part of requests that a restarted entry lets in before it has heard anything, so that the bound
    /// holds even if all were restarted together while the account asks for many times its allowance: what
    /// was let in before, a burst and the rate at most, counts against the same window.
    fn part_before_word(&self, allowance: Allowance) -> f32 {
        let window_s = self.bound.window_ms as f32 / 1_000.0;
        let silent_s = FIRST_WORD_USUAL_MS / 1_000.0;
        let rate = allowance.rate_per_s;
        let may = (rate * window_s + allowance.burst) * (1.0 + self.bound.overage);
        let before = allowance.burst + rate * (window_s - silent_s).max(0.0);
        let left = may + self.bound.slack - before;
        (left / (SURGE * silent_s * rate)).clamp(0.0, 1.0)
    }

    fn evict_if_full(&mut self, now: TimeMs) {
        if self.accounts.len() < MOST_ACCOUNTS {
            return;
        }
        let mut idle_ms: Vec<u64> = self
            .accounts
            .values()
            .map(|known| now.since(known.seen))
            .collect();
        let half = idle_ms.len() / 2;
        let (_, middle_ms, _) = idle_ms.select_nth_unstable(half);
        let middle_ms = *middle_ms;
        self.accounts
            .retain(|_, known| now.since(known.seen) < middle_ms);
    }
}

#[derive(Clone, Copy, Debug)]
enum Standing {
    Free,
    Part { part: f32, told: Option<TimeMs> },
    Share { per_s: f32 },
}

impl Known {
    fn note_wanted(&mut self, now: TimeMs) {
        self.wanted = self.wanted.wrapping_add(1);
        self.to_report = REPEATED_REPORTS;
        self.fresh += 1.0;
        self.usual.note(now, 1.0, USUAL_MS);
        self.seen = now;
    }

    fn is_surging(&self, now: TimeMs) -> bool {
        let usual = self.usual.per_s(now, USUAL_MS) * REPORT_MS as f32 / 1_000.0;
        self.fresh >= HASTY_COUNT.max(usual * HASTY_FACTOR)
    }

    fn take_part(&mut self, now: TimeMs, part: f32) -> bool {
        self.credited = now;
        self.credit += part;
        self.take_whole()
    }

    fn take_share(&mut self, now: TimeMs, per_s: f32) -> bool {
        let earned = now.since(self.credited) as f32 / 1_000.0 * per_s;
        self.credited = now;
        self.credit = (self.credit + earned).min(MOST_SAVED.max(per_s));
        self.take_whole()
    }

    fn take_whole(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    fn beyond(&self, now: TimeMs, standing: Standing) -> AllowanceExceeded {
        let usual_per_s = self.usual.per_s(now, USUAL_MS);
        let (per_s, told) = match standing {
            Standing::Free => (usual_per_s, None),
            Standing::Part { part, told } => (usual_per_s * part, told),
            Standing::Share { per_s } => (per_s, None),
        };
        let lacks = (1.0 - self.credit).max(0.0);
        let later_ms = lacks * 1_000.0 / per_s.max(f32::MIN_POSITIVE);
        AllowanceExceeded {
            retry_after_ms: later_ms.clamp(LEAST_LATER_MS, MOST_LATER_MS) as u64,
            part_permille: (per_s / usual_per_s.max(per_s) * 1_000.0) as u16,
            told_ms_ago: told.map(|at| now.since(at)),
        }
    }
}
