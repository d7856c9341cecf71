//! Accounts' allowances at one node: asked by its entry, told of among nodes.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::accounts::AccountId;
use crate::accounts::AccountUse;
use crate::accounts::Allowance;
use crate::accounts::AllowanceBound;
use crate::accounts::AllowanceCoordinator;
use crate::accounts::AllowanceExceeded;
use crate::accounts::AllowanceMessage;
use crate::accounts::EntryAllowances;
use crate::accounts::UsageReport;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::core::View;
use crate::traffic::InForce;
use crate::traffic::fleet_watch::FleetWatch;

/// How often keepers of different failure domains tell each other, in milliseconds.
const DOMAINS_MS: u64 = 300;

/// A message and the node that it is for.
pub(super) type Told = (Name, AllowanceMessage);

#[derive(Debug)]
struct Keeping {
    keeper: AllowanceCoordinator,
    fleet: FleetWatch,
    /// The version whose allowances are kept.
    version: u64,
    told_domains: TimeMs,
}

/// Shared by the entry and the control thread. No lock is held while another one is taken.
#[derive(Debug)]
pub(super) struct Allowances {
    node: Name,
    domain: Name,
    /// How many nodes there are, as last looked up.
    nodes: AtomicUsize,
    entry: Mutex<EntryAllowances>,
    keeping: Mutex<Keeping>,
}

impl Allowances {
    /// Nothing is used yet.
    pub(super) fn new(
        node: Name,
        domain: Name,
        bound: AllowanceBound,
        is_first_start: bool,
        now: TimeMs,
    ) -> Self {
        let process = fastrand::u32(1..);
        Self {
            node,
            domain,
            nodes: AtomicUsize::new(0),
            entry: Mutex::new(EntryAllowances::new(bound, is_first_start, process, now)),
            keeping: Mutex::new(Keeping {
                keeper: AllowanceCoordinator::new(is_first_start, now),
                fleet: FleetWatch::default(),
                version: 0,
                told_domains: now,
            }),
        }
    }

    /// Changes the bound of the whole system.
    pub(super) fn set_bound(&self, bound: AllowanceBound) {
        self.entry().set_bound(bound);
    }

    /// Decides about a request and counts it; see [`EntryAllowances::admit`].
    pub(super) fn ask(
        &self,
        now: TimeMs,
        account: AccountId,
        allowance: Allowance,
    ) -> Result<(), AllowanceExceeded> {
        let nodes = self.nodes.load(Ordering::Relaxed);
        let random = fastrand::f32();
        self.entry().admit(now, account, allowance, nodes, random)
    }

    /// A request that was let in has reached no backend server.
    pub(super) fn give_back(&self, account: AccountId) {
        self.entry().refund(account);
    }

    /// What comes of each account here; see [`EntryAllowances::uses`].
    pub(super) fn uses(&self, now: TimeMs) -> Vec<AccountUse> {
        self.entry().uses(now)
    }

    /// When a keeper last gave a word.
    pub(super) fn worded(&self) -> Option<TimeMs> {
        self.entry().last_reply_at()
    }

    /// Looks at the time, and answers what is to be told.
    pub(super) fn tick(&self, now: TimeMs, view: &View, in_force: &InForce) -> Vec<Told> {
        if in_force.accounts.is_none() {
            return Vec::new();
        }
        let keepers = self.follow(now, view, in_force);
        let mut told = Vec::new();
        // Not in the condition itself, which would hold the lock for the whole block.
        let report = self.entry().report(now);
        if let Some(report) = report {
            self.tell_report(now, &keepers, report, &mut told);
        }
        if keepers.first() == Some(&self.node) {
            self.tell_domains(now, &mut told);
        }
        told
    }

    /// Takes in what another node tells, and answers what it is to be told.
    pub(super) fn take(
        &self,
        now: TimeMs,
        view: &View,
        from: &Name,
        message: AllowanceMessage,
    ) -> Option<Told> {
        match message {
            AllowanceMessage::Report(report) => self.take_report(now, from, &report),
            AllowanceMessage::Reply(word) => {
                self.entry().apply_reply(now, &word);
                None
            }
            AllowanceMessage::Domain(news) => {
                let sender = view.nodes.get(from)?;
                let mut keeping = self.keeping();
                keeping
                    .keeper
                    .apply_domain_demands(now, &sender.domain, &news);
                None
            }
        }
    }

    /// Follows who is there and what is in force; answers the keepers of the own failure domain.
    fn follow(&self, now: TimeMs, view: &View, in_force: &InForce) -> Vec<Name> {
        let mut keeping = self.keeping();
        if keeping.version != in_force.state.version {
            keeping.version = in_force.state.version;
            let allowances = allowances_of(in_force);
            keeping.keeper.set_allowances(allowances);
        }
        if let Some(fleet) = keeping.fleet.follow(now, view, &self.domain) {
            self.nodes.store(fleet.nodes(), Ordering::Relaxed);
            keeping.keeper.set_fleet(now, fleet);
        }
        keeping.fleet.keepers(&self.domain).to_vec()
    }

    /// Both keepers of the failure domain hear what is used, so that the second one knows all when the first
    /// is gone; the first one answers, and the second one if there was no word lately.
    fn tell_report(
        &self,
        now: TimeMs,
        keepers: &[Name],
        report: UsageReport,
        told: &mut Vec<Told>,
    ) {
        let is_worded = self
            .worded()
            .is_some_and(|at| now.since(at) < EntryAllowances::REPLY_MISSED_MS);
        for (order, keeper) in keepers.iter().enumerate() {
            let report = UsageReport {
                wants_reply: order == 0 || !is_worded,
                ..report.clone()
            };
            if *keeper != self.node {
                told.push((keeper.clone(), AllowanceMessage::Report(report)));
                continue;
            }
            let word = self.keeping().keeper.apply_report(now, keeper, &report);
            if let Some(word) = word {
                self.entry().apply_reply(now, &word);
            }
        }
    }

    fn take_report(&self, now: TimeMs, from: &Name, report: &UsageReport) -> Option<Told> {
        let word = self.keeping().keeper.apply_report(now, from, report)?;
        Some((from.clone(), AllowanceMessage::Reply(word)))
    }

    fn tell_domains(&self, now: TimeMs, told: &mut Vec<Told>) {
        let mut keeping = self.keeping();
        if now.since(keeping.told_domains) < DOMAINS_MS {
            return;
        }
        keeping.told_domains = now;
        let news = keeping.keeper.domain_demands(now);
        for keeper in keeping.fleet.other_keepers(&self.domain) {
            told.push((keeper.clone(), AllowanceMessage::Domain(news.clone())));
        }
    }

    fn entry(&self) -> MutexGuard<'_, EntryAllowances> {
        self.entry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn keeping(&self) -> MutexGuard<'_, Keeping> {
        self.keeping.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn allowances_of(in_force: &InForce) -> FastMap<AccountId, Allowance> {
    let accounts = in_force.state.accounts.iter().flatten();
    accounts
        .filter_map(|account| Some((AccountId::of(&account.name), account.allowance?)))
        .collect()
}
