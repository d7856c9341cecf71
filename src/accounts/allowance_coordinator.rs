//! Computes how much of each allowance a failure domain may use, and replies to its entries.

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

/// Demand that is assumed in addition to the measured one when failure domains share an allowance,
/// as a fraction of the account's rate. It is spread evenly over all nodes. Without it the shares
/// of a small account would follow its few requests, which predict the next ones poorly.
const EVEN_DEMAND: f32 = 0.25;
/// Time over which saved burst tokens are spent, in milliseconds.
const BURST_SPREAD_MS: f32 = 1_000.0;
/// A failure domain that sent nothing for this time may be partitioned, in milliseconds. Two of its
/// messages are missing then.
const DOMAIN_TIMEOUT_MS: u64 = 650;
/// An entry that sent no report for this time is isolated or gone, in milliseconds.
const ENTRY_TIMEOUT_MS: u64 = 1_500;
/// Smallest demand that is sent to other failure domains, as a fraction of the account's rate times
/// the fraction of nodes in the own domain. A smaller one is below what all domains assume anyway;
/// see `EVEN_DEMAND`.
const MIN_SENT_DEMAND: f32 = 0.25;
/// How long a demand or an admitted fraction stays valid, in milliseconds.
const DEMAND_VALID_MS: u64 = 2_000;
/// Sequence numbers and counts wrap around. If one is ahead of another by more than this, it is the
/// older of the two.
const MAX_AHEAD: u32 = u32::MAX / 2;
/// If the first count that a coordinator receives is at most this, all its requests are taken as
/// new.
const MAX_NEW_COUNT: u32 = 8;
/// Time after the discovery of a first other node, in milliseconds, within which a coordinator
/// discovers most others. Until then it does not reply, except at a first start of the whole
/// system.
const JOIN_SETTLE_MS: u64 = 500;
/// A coordinator that has discovered no other node within this time after its start is the only
/// node, in milliseconds.
const ALONE_MS: u64 = 5_000;
/// A coordinator that started less than this time ago may have missed usage that still counts
/// against a burst, in milliseconds. It assumes that the whole burst was used before its start.
const BURST_HISTORY_MS: u64 = 10_000;
/// Maximum number of accounts in one reply, the most limited ones: about as much as one datagram
/// holds.
const MAX_REPLY_ACCOUNTS: usize = 150;
/// Accounts that were in no message for this time are evicted, in milliseconds.
const ACCOUNT_RETENTION_MS: u64 = 60_000;

#[derive(Clone, Debug, Default)]
struct Entry {
    process: u32,
    /// Sequence number of its newest report.
    sequence: u32,
    last_report_at: TimeMs,
    counts: FastMap<AccountId, UsageCount>,
}

#[derive(Clone, Debug, Default)]
struct OtherDomain {
    last_message_at: TimeMs,
    demands: FastMap<AccountId, (f32, TimeMs)>,
}

/// Coordinates the allowances of one failure domain.
///
/// Each failure domain has a share of every allowance according to its demand, as long as messages
/// arrive from all other domains. If those of one domain stop, every domain keeps the share that it
/// had, so neither side of a partition takes over the share of the other. Entries whose reports
/// stop use their equal shares without coordination. A failure domain therefore subtracts those
/// from its own share.
#[derive(Clone, Debug, Default)]
pub struct AllowanceCoordinator {
    allowances: FastMap<AccountId, Allowance>,
    fleet: Fleet,
    entries: FastMap<Name, Entry>,
    usage: FastMap<AccountId, DomainUsage>,
    others: FastMap<Name, OtherDomain>,
    started: TimeMs,
    is_first_start: bool,
    /// When it first discovered another node.
    joined_at: Option<TimeMs>,
}

impl AllowanceCoordinator {
    /// Creates a coordinator without allowances, nodes or usage.
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
    /// if the report wants a reply and this coordinator has discovered most of the fleet.
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

    /// Whether the coordinator has discovered most of the fleet, so that it may reply. Without this
    /// check, each restarted coordinator would compute for a fleet of one node at first, and grant
    /// whole allowances.
    fn has_joined_fleet(&self, now: TimeMs) -> bool {
        let has_joined = self
            .joined_at
            .is_some_and(|at| now.since(at) >= JOIN_SETTLE_MS);
        has_joined || self.is_first_start || now.since(self.started) >= ALONE_MS
    }

    /// Applies the demand in another failure domain.
    pub fn apply_domain_demands(&mut self, now: TimeMs, domain: &Name, demands: &DomainDemands) {
        let other = self.others.entry(domain.clone()).or_default();
        other.last_message_at = now;
        other
            .demands
            .retain(|_, (_, received_at)| now.since(*received_at) < ACCOUNT_RETENTION_MS);
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

    /// The message to the coordinators of other failure domains: the demands that are large enough
    /// to change the shares.
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

    /// The limited accounts and the fraction of their requests to admit.
    pub fn limited(&self, now: TimeMs) -> Vec<AdmittedFraction> {
        let is_fresh = |usage: &DomainUsage| now.since(usage.tokens_at) < DEMAND_VALID_MS;
        let limited = self.usage.iter().filter_map(|(account, usage)| {
            (usage.admitted_fraction < 1.0 && is_fresh(usage)).then_some(AdmittedFraction {
                account: *account,
                permille: (usage.admitted_fraction * 1_000.0) as u16,
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
        entry.last_report_at = now;
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
            usage.admitted_fraction = (per_s / demand.max(f32::MIN_POSITIVE)).clamp(0.0, 1.0);
        }
    }

    fn usage_of(&mut self, now: TimeMs, account: AccountId) -> &mut DomainUsage {
        let own_share = self.fleet.own_share();
        let has_burst_history = self.is_first_start || now.since(self.started) >= BURST_HISTORY_MS;
        let burst = self
            .allowances
            .get(&account)
            .map_or(0.0, |allowance| allowance.burst);
        let tokens = if has_burst_history {
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
        let isolated_entries_share = self.isolated_entries_share(now);
        let Some(usage) = self.usage.get_mut(&account) else {
            return allowance.rate_per_s;
        };
        let per_s = (allowance.rate_per_s * (usage.share - isolated_entries_share)).max(0.0);
        let passed_s = now.since(usage.tokens_at) as f32 / 1_000.0;
        usage.tokens_at = now;
        let most = allowance.burst * usage.share;
        usage.tokens = (usage.tokens + per_s * passed_s).clamp(-most.max(per_s), most);
        (per_s + usage.tokens * 1_000.0 / BURST_SPREAD_MS).max(0.0)
    }

    /// The own failure domain's share by demand; `None` while messages from another one are
    /// missing.
    ///
    /// In a partition, each side receives no demand from the other and would take over its share.
    /// The share therefore stays as it was last agreed.
    fn agreed_share(&self, now: TimeMs, account: AccountId, rate_per_s: f32) -> Option<f32> {
        let own = self.usage.get(&account)?.sharing_demand_per_s(now);
        let mut all = own;
        for (domain, _) in &self.fleet.others {
            let other = self.others.get(domain)?;
            if now.since(other.last_message_at) >= DOMAIN_TIMEOUT_MS {
                return None;
            }
            let demand = other.demands.get(&account);
            all += demand
                .filter(|(_, at)| now.since(*at) < DEMAND_VALID_MS)
                .map_or(0.0, |(per_s, _)| *per_s);
        }
        let even = rate_per_s * EVEN_DEMAND;
        Some((own + even * self.fleet.own_share()) / (all + even))
    }

    /// The fraction of the whole allowance that isolated entries of the own failure domain may use:
    /// the equal shares of those whose reports stopped.
    fn isolated_entries_share(&self, now: TimeMs) -> f32 {
        let is_isolated = |node: &&Name| {
            let entry = self.entries.get(*node);
            entry.is_none_or(|entry| now.since(entry.last_report_at) >= ENTRY_TIMEOUT_MS)
        };
        let isolated = self.fleet.own.iter().filter(is_isolated).count();
        isolated as f32 / self.fleet.nodes().max(1) as f32
    }

    fn evict_idle(&mut self, now: TimeMs) {
        self.usage
            .retain(|_, usage| now.since(usage.last_update_at) < ACCOUNT_RETENTION_MS);
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

/// The count that is subtracted from a further count of an account, to get the new requests.
///
/// An entry that tracks thousands of accounts may evict one and count it from 0 again. The new
/// count is then lower than the previous one, and 0 is subtracted.
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

/// The count that is subtracted from the first count of an account that a coordinator receives from
/// an entry. A small count is recent, so all of it is new. If the count is large, the coordinator
/// may have started later than the entry, so it is unknown how much is new. None of it counts then.
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
