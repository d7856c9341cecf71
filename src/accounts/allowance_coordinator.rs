//! Computes what a failure domain may use of each account, and replies to its entries.

use crate::accounts::AccountId;
use crate::accounts::AdmittedFraction;
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

/// Weight of an equal split by nodes beside the split by demand: failure domains share as if this
/// part of the rate were demanded evenly. The few requests of a small account predict its next ones
/// poorly.
const EVEN_SHARE: f32 = 0.25;
/// Time over which saved burst tokens are handed out, in milliseconds.
const BURST_SPREAD_MS: f32 = 1_000.0;
/// A failure domain that sent nothing for this time may be partitioned, in milliseconds. Two of its
/// messages are missing then.
const DOMAIN_SILENT_MS: u64 = 650;
/// An entry that sent no report for this time is isolated or gone, in milliseconds.
const ENTRY_SILENT_MS: u64 = 1_500;
/// Smallest demand that is sent to other failure domains, as a fraction of the domain's share of
/// the account's rate by nodes. They need not know a smaller one.
const MIN_SENT_DEMAND: f32 = 0.25;
/// How long a demand or an admitted share stays valid, in milliseconds.
const DEMAND_VALID_MS: u64 = 2_000;
/// A sequence number or count further ahead than this is behind, as they wrap around.
const MAX_AHEAD: u32 = u32::MAX / 2;
/// A first count up to this value consists of new requests only.
const MAX_NEW_COUNT: u32 = 8;
/// Time after its first contact with another node at which a coordinator knows most nodes, in
/// milliseconds.
const JOIN_SETTLE_MS: u64 = 500;
/// A coordinator that has known no other node for this time is alone, in milliseconds.
const ALONE_MS: u64 = 5_000;
/// After this time a coordinator has seen all usage that could still count against a burst, in
/// milliseconds. Usage from before its start counts as the whole burst.
const BURST_MEMORY_MS: u64 = 10_000;
/// Maximum number of accounts in one reply, the most limited ones: about as much as one datagram
/// holds.
const MAX_REPLY_ACCOUNTS: usize = 150;
/// Accounts without updates for this time are evicted, in milliseconds.
const ACCOUNT_RETENTION_MS: u64 = 60_000;

#[derive(Clone, Debug, Default)]
struct Entry {
    process: u32,
    /// Sequence number of its newest report.
    sequence: u32,
    last_heard: TimeMs,
    counts: FastMap<AccountId, UsageCount>,
}

#[derive(Clone, Debug, Default)]
struct OtherDomain {
    last_heard: TimeMs,
    demands: FastMap<AccountId, (f32, TimeMs)>,
}

/// Coordinates the allowances of one failure domain.
///
/// Each failure domain has a share of every allowance according to its demand, as long as all
/// domains hear each other. If one falls silent, every domain keeps the share that it had, so
/// neither side of a partition takes over the share of the other. Within its own share, a failure
/// domain reserves the equal shares of silent entries, which those use without coordination.
#[derive(Clone, Debug, Default)]
pub struct AllowanceCoordinator {
    allowances: FastMap<AccountId, Allowance>,
    fleet: Fleet,
    entries: FastMap<Name, Entry>,
    usage: FastMap<AccountId, DomainUsage>,
    others: FastMap<Name, OtherDomain>,
    started: TimeMs,
    is_first_start: bool,
    /// When it first knew of another node.
    joined_at: Option<TimeMs>,
}

impl AllowanceCoordinator {
    /// Creates a coordinator that knows nothing yet.
    pub fn new(is_first_start: bool, now: TimeMs) -> Self {
        Self {
            started: now,
            is_first_start,
            ..Self::default()
        }
    }

    /// Replaces the allowances by those of the active desired state.
    pub fn set_allowances(&mut self, allowances: FastMap<AccountId, Allowance>) {
        self.allowances = allowances;
    }

    /// Replaces the known nodes.
    pub fn set_fleet(&mut self, now: TimeMs, fleet: Fleet) {
        if fleet.nodes() > 1 {
            self.joined_at.get_or_insert(now);
        }
        self.entries.retain(|node, _| fleet.own.contains(node));
        let is_known = |domain: &Name| fleet.others.iter().any(|(other, _)| other == domain);
        self.others.retain(|domain, _| is_known(domain));
        self.fleet = fleet;
        let own_share = self.fleet.own_share();
        for usage in self
            .usage
            .values_mut()
            .filter(|usage| !usage.is_share_agreed)
        {
            usage.share = own_share;
        }
    }

    /// Applies the usage report of an entry in the own failure domain. Returns the limited accounts
    /// if the entry asks for a reply and this coordinator knows enough of the fleet.
    pub fn apply_report(
        &mut self,
        now: TimeMs,
        node: &Name,
        report: &UsageReport,
    ) -> Option<AllowanceReply> {
        self.count_report(now, node, report);
        if !report.wants_reply || !self.has_joined_fleet(now) {
            return None;
        }
        let mut limited = self.limited(now);
        if limited.len() > MAX_REPLY_ACCOUNTS {
            limited.select_nth_unstable_by_key(MAX_REPLY_ACCOUNTS, |admitted| admitted.permille);
            limited.truncate(MAX_REPLY_ACCOUNTS);
        }
        Some(AllowanceReply { limited })
    }

    /// Whether the coordinator knows enough of the fleet to reply. Without this check, each
    /// restarted node would briefly consider itself the whole fleet and hand out whole allowances.
    fn has_joined_fleet(&self, now: TimeMs) -> bool {
        let has_joined = self
            .joined_at
            .is_some_and(|at| now.since(at) >= JOIN_SETTLE_MS);
        has_joined || self.is_first_start || now.since(self.started) >= ALONE_MS
    }

    /// Applies the demand in another failure domain.
    pub fn apply_domain_demands(&mut self, now: TimeMs, domain: &Name, demands: &DomainDemands) {
        let other = self.others.entry(domain.clone()).or_default();
        other.last_heard = now;
        other
            .demands
            .retain(|_, (_, heard_at)| now.since(*heard_at) < ACCOUNT_RETENTION_MS);
        for demand in &demands.demands {
            let per_s = demand.tenths_per_s as f32 / 10.0;
            other.demands.insert(demand.account, (per_s, now));
        }
        for demand in &demands.demands {
            if self.allowances.contains_key(&demand.account) {
                self.usage_of(now, demand.account);
            }
        }
        self.recompute_shares(now);
    }

    /// The demands that the other failure domains have to know.
    pub fn domain_demands(&mut self, now: TimeMs) -> DomainDemands {
        self.evict_idle(now);
        let demands = self.usage.iter().filter_map(|(account, usage)| {
            let allowance = self.allowances.get(account)?;
            let per_s = usage.sharing_demand_per_s(now);
            let least = allowance.rate_per_s * MIN_SENT_DEMAND * self.fleet.own_share();
            (per_s >= least).then_some(Demand {
                account: *account,
                tenths_per_s: (per_s * 10.0) as u32,
            })
        });
        DomainDemands {
            demands: demands.collect(),
        }
    }

    /// The limited accounts and the share of their requests to admit.
    pub fn limited(&self, now: TimeMs) -> Vec<AdmittedFraction> {
        let is_fresh = |usage: &DomainUsage| now.since(usage.tokens_at) < DEMAND_VALID_MS;
        let limited = self.usage.iter().filter_map(|(account, usage)| {
            (usage.admitted < 1.0 && is_fresh(usage)).then_some(AdmittedFraction {
                account: *account,
                permille: (usage.admitted * 1_000.0) as u16,
            })
        });
        limited.collect()
    }

    fn count_report(&mut self, now: TimeMs, node: &Name, report: &UsageReport) {
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
        entry.last_heard = now;
        let mut increments = Vec::with_capacity(report.counts.len());
        for count in &report.counts {
            let before = entry.counts.insert(count.account, *count);
            let before =
                before.map_or_else(|| first_base(count), |before| next_base(before, count));
            let wanted = count.wanted.wrapping_sub(before.wanted);
            let used = count.used.wrapping_sub(before.used);
            increments.push((count.account, wanted, used));
        }
        for (account, wanted, used) in increments {
            self.record_usage(now, account, wanted as f32, used as f32);
        }
    }

    fn record_usage(&mut self, now: TimeMs, account: AccountId, wanted: f32, used: f32) {
        let Some(allowance) = self.allowances.get(&account).copied() else {
            return;
        };
        let usage = self.usage_of(now, account);
        usage.record_requests(now, wanted);
        usage.tokens -= used;
        let per_s = self.usable_per_s(now, account, allowance);
        let demand = self
            .usage
            .get(&account)
            .map_or(0.0, |usage| usage.demand_per_s(now));
        if let Some(usage) = self.usage.get_mut(&account) {
            usage.admitted = (per_s / demand.max(f32::MIN_POSITIVE)).clamp(0.0, 1.0);
        }
    }

    fn usage_of(&mut self, now: TimeMs, account: AccountId) -> &mut DomainUsage {
        let own_share = self.fleet.own_share();
        let remembers_bursts = self.is_first_start || now.since(self.started) >= BURST_MEMORY_MS;
        let burst = self.allowances.get(&account).map_or(0.0, |all| all.burst);
        let tokens = if remembers_bursts {
            burst * own_share
        } else {
            0.0
        };
        let new = || DomainUsage::new(now, own_share, tokens);
        self.usage.entry(account).or_insert_with(new)
    }

    /// Recomputes the shares of all accounts, including those without demand here: other failure
    /// domains may have some.
    fn recompute_shares(&mut self, now: TimeMs) {
        let accounts: Vec<AccountId> = self.usage.keys().copied().collect();
        for account in accounts {
            let Some(allowance) = self.allowances.get(&account) else {
                continue;
            };
            let share = self.agreed_share(now, account, allowance.rate_per_s);
            if let (Some(share), Some(usage)) = (share, self.usage.get_mut(&account)) {
                usage.share = share;
                usage.is_share_agreed = true;
            }
        }
    }

    /// Adds the tokens earned since the last call, and returns the requests per second that the own
    /// failure domain may use now.
    fn usable_per_s(&mut self, now: TimeMs, account: AccountId, allowance: Allowance) -> f32 {
        let silent_entries_share = self.silent_entries_share(now);
        let Some(usage) = self.usage.get_mut(&account) else {
            return allowance.rate_per_s;
        };
        let per_s = (allowance.rate_per_s * (usage.share - silent_entries_share)).max(0.0);
        let passed_s = now.since(usage.tokens_at) as f32 / 1_000.0;
        usage.tokens_at = now;
        let most = allowance.burst * usage.share;
        usage.tokens = (usage.tokens + per_s * passed_s).clamp(-most.max(per_s), most);
        (per_s + usage.tokens * 1_000.0 / BURST_SPREAD_MS).max(0.0)
    }

    /// The own failure domain's share by demand; `None` while another one is silent.
    ///
    /// In a partition, each side hears no demand of the other and would take over its share. The
    /// share therefore stays as it was when all domains were heard.
    fn agreed_share(&self, now: TimeMs, account: AccountId, rate_per_s: f32) -> Option<f32> {
        let own = self.usage.get(&account)?.sharing_demand_per_s(now);
        let mut all = own;
        for (domain, _) in &self.fleet.others {
            let other = self.others.get(domain)?;
            if now.since(other.last_heard) >= DOMAIN_SILENT_MS {
                return None;
            }
            let demand = other.demands.get(&account);
            all += demand
                .filter(|(_, at)| now.since(*at) < DEMAND_VALID_MS)
                .map_or(0.0, |(per_s, _)| *per_s);
        }
        let even = rate_per_s * EVEN_SHARE;
        Some((own + even * self.fleet.own_share()) / (all + even))
    }

    /// The fraction of the whole allowance that silent entries of the own failure domain use
    /// without coordination, as they do not report here.
    fn silent_entries_share(&self, now: TimeMs) -> f32 {
        let is_silent = |node: &&Name| {
            let entry = self.entries.get(*node);
            entry.is_none_or(|entry| now.since(entry.last_heard) >= ENTRY_SILENT_MS)
        };
        let silent = self.fleet.own.iter().filter(is_silent).count();
        silent as f32 / self.fleet.nodes().max(1) as f32
    }

    fn evict_idle(&mut self, now: TimeMs) {
        self.usage
            .retain(|_, usage| now.since(usage.last_heard) < ACCOUNT_RETENTION_MS);
        let usage = &self.usage;
        for entry in self.entries.values_mut() {
            entry
                .counts
                .retain(|account, _| usage.contains_key(account));
        }
    }
}

/// Whether a report is newer than another one of the same process. Sequence numbers wrap around.
fn is_newer(sequence: u32, other: u32) -> bool {
    sequence != other && sequence.wrapping_sub(other) <= MAX_AHEAD
}

/// The base from which a further count of an account increases.
///
/// An entry that tracks thousands of accounts may evict one and count it from 0 again. The new
/// count is then behind the old one, and the base is 0.
fn next_base(before: UsageCount, count: &UsageCount) -> UsageCount {
    if count.wanted.wrapping_sub(before.wanted) <= MAX_AHEAD {
        return before;
    }
    UsageCount {
        wanted: 0,
        used: 0,
        ..*count
    }
}

/// The base of the first count of an account that a coordinator receives from an entry. A small
/// count is recent, so its base is 0. Of a large one it is unknown how much is new, as the
/// coordinator may have started after it; none of it counts.
fn first_base(count: &UsageCount) -> UsageCount {
    match count.wanted {
        0..=MAX_NEW_COUNT => UsageCount {
            wanted: 0,
            used: 0,
            ..*count
        },
        _ => *count,
    }
}
