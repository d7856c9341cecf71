//! What a failure domain may use of each account, and how its entries are told.

use crate::accounts::AccountId;
use crate::accounts::AdmittedShare;
use crate::accounts::Allowance;
use crate::accounts::AllowanceReply;
use crate::accounts::Demand;
use crate::accounts::DomainDemands;
use crate::accounts::Fleet;
use crate::accounts::UsageCount;
use crate::accounts::UsageReport;
use crate::accounts::domain_usage::DomainUsage;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// Beside what they ask for, failure domains share by their nodes, as if so much of the rate were asked for
/// evenly: the few requests of a small account say little of the next ones.
const EVEN_PART: f32 = 0.25;
/// In which time what is saved of a burst is handed out, in milliseconds.
const BURST_MS: f32 = 1_000.0;
/// A failure domain from which nothing came for so long may be cut off, in milliseconds: two messages of it
/// are missing.
const DOMAIN_SILENT_MS: u64 = 650;
/// An entry that reported nothing for so long is on its own or gone, in milliseconds.
const ENTRY_SILENT_MS: u64 = 1_500;
/// Less than this part of its rate is told to other failure domains of an account only if they have to know
/// it, as a fraction.
const TOLD_FROM: f32 = 0.25;
/// What is told of an account holds for so long, in milliseconds.
const TOLD_HOLDS_MS: u64 = 2_000;
/// A number further ahead of another one than this is behind it.
const MOST_AHEAD: u32 = u32::MAX / 2;
/// A first count up to this one is all new.
const MOST_NEW: u32 = 8;
/// So long after it knew of another node a keeper knows most of them, in milliseconds.
const JOINED_MS: u64 = 500;
/// One that knows of nobody else for so long is alone, in milliseconds.
const ALONE_MS: u64 = 5_000;
/// After this time a keeper has seen all that could still count against a burst, in milliseconds; what was
/// used before it began counts as the whole burst.
const WATCHED_MS: u64 = 10_000;
/// Accounts told in one word at most, the most limited ones: about as much as one datagram holds.
const MOST_TOLD: usize = 150;
/// Accounts without news for so long are forgotten, in milliseconds.
const FORGOTTEN_MS: u64 = 60_000;

#[derive(Clone, Debug, Default)]
struct Entry {
    process: u32,
    /// The number of its newest report.
    sequence: u32,
    heard: TimeMs,
    counts: FastMap<AccountId, UsageCount>,
}

#[derive(Clone, Debug, Default)]
struct Other {
    heard: TimeMs,
    demands: FastMap<AccountId, (f32, TimeMs)>,
}

/// Keeps the allowances of one failure domain.
///
/// Each failure domain has a part of every allowance by what it asks for, while all of them tell each other.
/// One that falls silent keeps the part that it had, and so do the others theirs: no side of a cut gets what
/// the other one has. Of its own part, a failure domain leaves to entries that fell silent the equal shares
/// that those take by themselves.
#[derive(Clone, Debug, Default)]
pub struct AllowanceCoordinator {
    allowances: FastMap<AccountId, Allowance>,
    fleet: Fleet,
    entries: FastMap<Name, Entry>,
    used: FastMap<AccountId, DomainUsage>,
    others: FastMap<Name, Other>,
    started: TimeMs,
    is_first_start: bool,
    /// When it first knew of another node.
    joined: Option<TimeMs>,
}

impl AllowanceCoordinator {
    /// Nothing is known yet.
    pub fn new(is_first_start: bool, now: TimeMs) -> Self {
        Self {
            started: now,
            is_first_start,
            ..Self::default()
        }
    }

    /// Takes over the allowances in force.
    pub fn set_allowances(&mut self, allowances: FastMap<AccountId, Allowance>) {
        self.allowances = allowances;
    }

    /// Takes over who is there.
    pub fn set_fleet(&mut self, now: TimeMs, fleet: Fleet) {
        if fleet.nodes() > 1 {
            self.joined.get_or_insert(now);
        }
        self.entries.retain(|node, _| fleet.own.contains(node));
        let is_known = |domain: &Name| fleet.others.iter().any(|(other, _)| other == domain);
        self.others.retain(|domain, _| is_known(domain));
        self.fleet = fleet;
        let own_part = self.fleet.own_part();
        for used in self.used.values_mut().filter(|used| !used.is_agreed) {
            used.part = own_part;
        }
    }

    /// Takes in what an entry of the own failure domain has seen, and answers which parts it lets in, if it
    /// is asked and can tell.
    pub fn apply_report(
        &mut self,
        now: TimeMs,
        node: &Name,
        report: &UsageReport,
    ) -> Option<AllowanceReply> {
        self.count(now, node, report);
        if !report.wants_reply || !self.knows_others(now) {
            return None;
        }
        let mut limited = self.limited(now);
        if limited.len() > MOST_TOLD {
            limited.select_nth_unstable_by_key(MOST_TOLD, |part| part.permille);
            limited.truncate(MOST_TOLD);
        }
        Some(AllowanceReply { limited })
    }

    /// Guards against a node that takes itself for the whole fleet for a moment after a restart, and hands
    /// out whole allowances, as all the others do.
    fn knows_others(&self, now: TimeMs) -> bool {
        let has_joined = self.joined.is_some_and(|at| now.since(at) >= JOINED_MS);
        has_joined || self.is_first_start || now.since(self.started) >= ALONE_MS
    }

    /// Takes in what is asked for in another failure domain.
    pub fn apply_domain_demands(&mut self, now: TimeMs, domain: &Name, news: &DomainDemands) {
        let other = self.others.entry(domain.clone()).or_default();
        other.heard = now;
        other
            .demands
            .retain(|_, (_, told)| now.since(*told) < FORGOTTEN_MS);
        for demand in &news.demands {
            let per_s = demand.tenths_per_s as f32 / 10.0;
            other.demands.insert(demand.account, (per_s, now));
        }
        for demand in &news.demands {
            if self.allowances.contains_key(&demand.account) {
                self.used_of(now, demand.account);
            }
        }
        self.share_anew(now);
    }

    /// What the others have to know.
    pub fn domain_demands(&mut self, now: TimeMs) -> DomainDemands {
        self.forget(now);
        let told = self.used.iter().filter_map(|(account, used)| {
            let allowance = self.allowances.get(account)?;
            let per_s = used.shared_per_s(now);
            let least = allowance.rate_per_s * TOLD_FROM * self.fleet.own_part();
            (per_s >= least).then_some(Demand {
                account: *account,
                tenths_per_s: (per_s * 10.0) as u32,
            })
        });
        DomainDemands {
            demands: told.collect(),
        }
    }

    /// The accounts of which not all is let in, and the part that is.
    pub fn limited(&self, now: TimeMs) -> Vec<AdmittedShare> {
        let is_fresh = |used: &DomainUsage| now.since(used.saved_at) < TOLD_HOLDS_MS;
        let limited = self.used.iter().filter_map(|(account, used)| {
            (used.let_in < 1.0 && is_fresh(used)).then_some(AdmittedShare {
                account: *account,
                permille: (used.let_in * 1_000.0) as u16,
            })
        });
        limited.collect()
    }

    fn count(&mut self, now: TimeMs, node: &Name, report: &UsageReport) {
        let entry = self.entries.entry(node.clone()).or_default();
        if entry.process != report.process {
            *entry = Entry {
                process: report.process,
                ..Entry::default()
            };
        } else if !is_newer(report.sequence, entry.sequence) {
            return;
        }
        entry.sequence = report.sequence;
        entry.heard = now;
        let mut news = Vec::with_capacity(report.counts.len());
        for count in &report.counts {
            let before = entry.counts.insert(count.account, *count);
            let before = before.map_or_else(|| base_of(count), |before| base_after(before, count));
            let wanted = count.wanted.wrapping_sub(before.wanted);
            let used = count.used.wrapping_sub(before.used);
            news.push((count.account, wanted, used));
        }
        for (account, wanted, used) in news {
            self.note(now, account, wanted as f32, used as f32);
        }
    }

    fn note(&mut self, now: TimeMs, account: AccountId, wanted: f32, used: f32) {
        let Some(allowance) = self.allowances.get(&account).copied() else {
            return;
        };
        let known = self.used_of(now, account);
        known.note_wanted(now, wanted);
        known.saved -= used;
        let per_s = self.work_out(now, account, allowance);
        let demand = self
            .used
            .get(&account)
            .map_or(0.0, |known| known.demand_per_s(now));
        if let Some(known) = self.used.get_mut(&account) {
            known.let_in = (per_s / demand.max(f32::MIN_POSITIVE)).clamp(0.0, 1.0);
        }
    }

    fn used_of(&mut self, now: TimeMs, account: AccountId) -> &mut DomainUsage {
        let own_part = self.fleet.own_part();
        let has_watched = self.is_first_start || now.since(self.started) >= WATCHED_MS;
        let burst = self.allowances.get(&account).map_or(0.0, |all| all.burst);
        let saved = if has_watched { burst * own_part } else { 0.0 };
        let new = || DomainUsage::new(now, own_part, saved);
        self.used.entry(account).or_insert_with(new)
    }

    /// Works out the parts of all accounts, also of those that nobody asks for here: others may.
    fn share_anew(&mut self, now: TimeMs) {
        let accounts: Vec<AccountId> = self.used.keys().copied().collect();
        for account in accounts {
            let Some(allowance) = self.allowances.get(&account) else {
                continue;
            };
            let part = self.agreed_part(now, account, allowance.rate_per_s);
            if let (Some(part), Some(known)) = (part, self.used.get_mut(&account)) {
                known.part = part;
                known.is_agreed = true;
            }
        }
    }

    /// How much of an account may be used a second in the own failure domain now.
    fn work_out(&mut self, now: TimeMs, account: AccountId, allowance: Allowance) -> f32 {
        let left_alone = self.left_alone(now);
        let Some(known) = self.used.get_mut(&account) else {
            return allowance.rate_per_s;
        };
        let per_s = (allowance.rate_per_s * (known.part - left_alone)).max(0.0);
        let passed_s = now.since(known.saved_at) as f32 / 1_000.0;
        known.saved_at = now;
        let most = allowance.burst * known.part;
        known.saved = (known.saved + per_s * passed_s).clamp(-most.max(per_s), most);
        (per_s + known.saved * 1_000.0 / BURST_MS).max(0.0)
    }

    /// The own failure domain's part by demand; `None` while some other one is silent.
    ///
    /// Guards against two sides of a cut that each take what the other one does not ask for any more, as far
    /// as they hear: the part stays as it was when all were heard.
    fn agreed_part(&self, now: TimeMs, account: AccountId, rate_per_s: f32) -> Option<f32> {
        let own = self.used.get(&account)?.shared_per_s(now);
        let mut all = own;
        for (domain, _) in &self.fleet.others {
            let other = self.others.get(domain)?;
            if now.since(other.heard) >= DOMAIN_SILENT_MS {
                return None;
            }
            let told = other.demands.get(&account);
            all += told
                .filter(|(_, at)| now.since(*at) < TOLD_HOLDS_MS)
                .map_or(0.0, |(per_s, _)| *per_s);
        }
        let even = rate_per_s * EVEN_PART;
        Some((own + even * self.fleet.own_part()) / (all + even))
    }

    /// The part of the whole that entries of the own failure domain take by themselves, since they do not
    /// report here.
    fn left_alone(&self, now: TimeMs) -> f32 {
        let is_silent = |node: &&Name| {
            let entry = self.entries.get(*node);
            entry.is_none_or(|entry| now.since(entry.heard) >= ENTRY_SILENT_MS)
        };
        let silent = self.fleet.own.iter().filter(is_silent).count();
        silent as f32 / self.fleet.nodes().max(1) as f32
    }

    fn forget(&mut self, now: TimeMs) {
        self.used
            .retain(|_, used| now.since(used.heard) < FORGOTTEN_MS);
        let used = &self.used;
        for entry in self.entries.values_mut() {
            entry.counts.retain(|account, _| used.contains_key(account));
        }
    }
}

/// Whether a report comes after another one of the same process; their numbers wrap around.
fn is_newer(sequence: u32, other: u32) -> bool {
    sequence != other && sequence.wrapping_sub(other) <= MOST_AHEAD
}

/// From where a further count of an account goes.
///
/// Guards against an account that its entry forgot, among thousands, and counts from nothing again.
fn base_after(before: UsageCount, count: &UsageCount) -> UsageCount {
    if count.wanted.wrapping_sub(before.wanted) <= MOST_AHEAD {
        return before;
    }
    UsageCount {
        wanted: 0,
        used: 0,
        ..*count
    }
}

/// From where the first count of an account goes that a keeper hears of an entry. A small one was made
/// lately; of a large one it is not known how much of it is new, for the keeper may have begun after it.
fn base_of(count: &UsageCount) -> UsageCount {
    match count.wanted {
        0..=MOST_NEW => UsageCount {
            wanted: 0,
            used: 0,
            ..*count
        },
        _ => *count,
    }
}
