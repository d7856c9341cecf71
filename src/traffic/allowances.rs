//! The allowances of client accounts at one node: checked by its entry, exchanged among nodes.

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

/// How often coordinators of different failure domains exchange usage, in milliseconds.
const DOMAIN_EXCHANGE_MS: u64 = 300;

/// A message and its peer: the recipient of an outgoing one, the sender of an incoming one.
pub(super) type PeerMessage = (Name, AllowanceMessage);

#[derive(Debug)]
struct CoordinatorState {
    coordinator: AllowanceCoordinator,
    fleet: FleetWatch,
    /// The version of the desired state whose allowances are in use.
    version: u64,
    last_domain_exchange: TimeMs,
}

/// Shared by the entry and the control thread. To rule out deadlocks, no lock is held while another
/// one is taken.
#[derive(Debug)]
pub(super) struct Allowances {
    node: Name,
    domain: Name,
    /// The number of nodes at the last update of the fleet.
    nodes: AtomicUsize,
    entry: Mutex<EntryAllowances>,
    coordinator_state: Mutex<CoordinatorState>,
}

impl Allowances {
    /// Starts with no usage.
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
            coordinator_state: Mutex::new(CoordinatorState {
                coordinator: AllowanceCoordinator::new(is_first_start, now),
                fleet: FleetWatch::default(),
                version: 0,
                last_domain_exchange: now,
            }),
        }
    }

    /// Changes the system-wide bound.
    pub(super) fn set_bound(&self, bound: AllowanceBound) {
        self.entry().set_bound(bound);
    }

    /// Decides whether to admit a request, and counts it; see [`EntryAllowances::admit`].
    pub(super) fn admit(
        &self,
        now: TimeMs,
        account: AccountId,
        allowance: Allowance,
    ) -> Result<(), AllowanceExceeded> {
        let nodes = self.nodes.load(Ordering::Relaxed);
        let random = fastrand::f32();
        self.entry().admit(now, account, allowance, nodes, random)
    }

    /// Refunds an admitted request that reached no backend server.
    pub(super) fn refund(&self, account: AccountId) {
        self.entry().refund(account);
    }

    /// The usage of each account at this node; see [`EntryAllowances::uses`].
    pub(super) fn uses(&self, now: TimeMs) -> Vec<AccountUse> {
        self.entry().uses(now)
    }

    /// When a coordinator last replied to a report.
    pub(super) fn last_reply(&self) -> Option<TimeMs> {
        self.entry().last_reply_at()
    }

    /// Performs the work that is due, and returns the messages to send.
    pub(super) fn tick(&self, now: TimeMs, view: &View, in_force: &InForce) -> Vec<PeerMessage> {
        if in_force.accounts.is_none() {
            return Vec::new();
        }
        let coordinators = self.update_fleet(now, view, in_force);
        let mut outgoing = Vec::new();
        // Not in the condition itself, which would hold the lock for the whole block.
        let report = self.entry().report(now);
        if let Some(report) = report {
            self.send_report(now, &coordinators, report, &mut outgoing);
        }
        if coordinators.first() == Some(&self.node) {
            self.send_to_other_domains(now, &mut outgoing);
        }
        outgoing
    }

    /// Handles a message of another node, and returns the reply, if any.
    pub(super) fn handle(
        &self,
        now: TimeMs,
        view: &View,
        from: &Name,
        message: AllowanceMessage,
    ) -> Option<PeerMessage> {
        match message {
            AllowanceMessage::Report(report) => self.handle_report(now, from, &report),
            AllowanceMessage::Reply(reply) => {
                self.entry().apply_reply(now, &reply);
                None
            }
            AllowanceMessage::Domain(demands) => {
                let sender = view.nodes.get(from)?;
                let mut coordinator_state = self.coordinator_state();
                coordinator_state
                    .coordinator
                    .apply_domain_demands(now, &sender.domain, &demands);
                None
            }
        }
    }

    /// Updates the set of nodes and the allowances; returns the coordinators of this node's failure
    /// domain.
    fn update_fleet(&self, now: TimeMs, view: &View, in_force: &InForce) -> Vec<Name> {
        let mut coordinator_state = self.coordinator_state();
        if coordinator_state.version != in_force.state.version {
            coordinator_state.version = in_force.state.version;
            let allowances = allowances_of(in_force);
            coordinator_state.coordinator.set_allowances(allowances);
        }
        if let Some(fleet) = coordinator_state.fleet.update(now, view, &self.domain) {
            self.nodes.store(fleet.nodes(), Ordering::Relaxed);
            coordinator_state.coordinator.set_fleet(now, fleet);
        }
        coordinator_state.fleet.coordinators(&self.domain).to_vec()
    }

    /// Reports usage to both coordinators of the failure domain, so the second one has all data if
    /// the first fails. The first one replies; the second one replies only if a reply is overdue.
    fn send_report(
        &self,
        now: TimeMs,
        coordinators: &[Name],
        report: UsageReport,
        outgoing: &mut Vec<PeerMessage>,
    ) {
        let has_recent_reply = self
            .last_reply()
            .is_some_and(|at| now.since(at) < EntryAllowances::REPLY_MISSED_MS);
        for (order, coordinator) in coordinators.iter().enumerate() {
            let report = UsageReport {
                wants_reply: order == 0 || !has_recent_reply,
                ..report.clone()
            };
            if *coordinator != self.node {
                outgoing.push((coordinator.clone(), AllowanceMessage::Report(report)));
                continue;
            }
            let reply =
                self.coordinator_state()
                    .coordinator
                    .apply_report(now, coordinator, &report);
            if let Some(reply) = reply {
                self.entry().apply_reply(now, &reply);
            }
        }
    }

    fn handle_report(&self, now: TimeMs, from: &Name, report: &UsageReport) -> Option<PeerMessage> {
        let reply = self
            .coordinator_state()
            .coordinator
            .apply_report(now, from, report)?;
        Some((from.clone(), AllowanceMessage::Reply(reply)))
    }

    fn send_to_other_domains(&self, now: TimeMs, outgoing: &mut Vec<PeerMessage>) {
        let mut coordinator_state = self.coordinator_state();
        if now.since(coordinator_state.last_domain_exchange) < DOMAIN_EXCHANGE_MS {
            return;
        }
        coordinator_state.last_domain_exchange = now;
        let usage = coordinator_state.coordinator.domain_demands(now);
        for coordinator in coordinator_state.fleet.other_coordinators(&self.domain) {
            outgoing.push((coordinator.clone(), AllowanceMessage::Domain(usage.clone())));
        }
    }

    fn entry(&self) -> MutexGuard<'_, EntryAllowances> {
        self.entry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn coordinator_state(&self) -> MutexGuard<'_, CoordinatorState> {
        self.coordinator_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn allowances_of(in_force: &InForce) -> FastMap<AccountId, Allowance> {
    let accounts = in_force.state.accounts.iter().flatten();
    accounts
        .filter_map(|account| Some((AccountId::of(&account.name), account.allowance?)))
        .collect()
}
