//! The status of one node, for operators.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::RefusalReason;
use crate::core::RetryReason;
use crate::core::Target;
use crate::core::TargetState;
use crate::node::Node;

/// The answer to `GET /status`, in JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    pub node: Name,
    pub region: Name,
    pub domain: Name,
    pub draining: bool,
    /// The service of the local backend server, once it has announced itself.
    pub service: Option<Name>,
    pub state: TargetState,
    pub preset: Option<Name>,
    pub config_version: u64,
    pub in_flight: u32,
    pub limit: u32,
    pub queued: u32,
    /// The key slots that this node owns, and how many of them accept unseen keys now.
    pub slots_owned: usize,
    pub slots_open: usize,
    /// The number of keys in the ledger.
    pub ledger_keys: usize,
    /// Refusals sent to callers since the start, by reason. Reasons that did not occur are left
    /// out.
    pub entry_refusals: BTreeMap<Name, u64>,
    /// Refusals sent to other nodes since the start.
    pub guard_refusals: BTreeMap<Name, u64>,
    pub retries: BTreeMap<Name, u64>,
    pub cut_off_domains: Vec<Name>,
    pub members: Vec<Target>,
}

impl Status {
    /// The current status of a node, with all members in its view.
    pub fn of(node: &Node) -> Self {
        let view = node.inputs.view.load();
        let mut members: Vec<Target> = view.nodes.values().map(|t| t.as_ref().clone()).collect();
        members.sort_by(|a, b| a.node.cmp(&b.node));
        Self {
            members,
            ..Self::without_members(node)
        }
    }

    /// The current status of a node without the members, for a list of many nodes.
    pub fn without_members(node: &Node) -> Self {
        let view = node.inputs.view.load();
        let in_force = node.inputs.in_force.load();
        let in_force = in_force.as_ref().as_ref();
        let local = node.inputs.local.borrow().clone();
        let load = node.gate.load();
        let ledger = LedgerFigures::of(node);
        Self {
            node: node.settings.node.clone(),
            region: node.settings.region.clone(),
            domain: node.settings.domain.clone(),
            draining: node.is_draining(),
            state: local.state(),
            service: local.announced.map(|announced| announced.service),
            preset: in_force.map(|known| known.preset.name.clone()),
            config_version: in_force.map_or(0, |known| known.version),
            in_flight: load.in_flight,
            limit: load.limit,
            queued: load.queued,
            slots_owned: ledger.slots_owned,
            slots_open: ledger.slots_open,
            ledger_keys: ledger.keys,
            entry_refusals: refusals(|reason| node.metrics.entry_refusals(reason)),
            guard_refusals: refusals(|reason| node.metrics.guard_refusals(reason)),
            retries: retries(node),
            cut_off_domains: view.cut_off_domains.clone(),
            members: Vec::new(),
        }
    }
}

/// Figures of the ledger, or zeros if there is none.
#[derive(Default)]
pub(super) struct LedgerFigures {
    pub(super) slots_owned: usize,
    pub(super) slots_open: usize,
    pub(super) keys: usize,
    pub(super) answer_bytes: usize,
}

impl LedgerFigures {
    pub(super) fn of(node: &Node) -> Self {
        let claims = node.inputs.claims.as_ref();
        let Some(ledger) = claims.and_then(|claims| claims.ledger()) else {
            return Self::default();
        };
        ledger.with(|ledger, now| Self {
            slots_owned: ledger.slot_lease().count(),
            slots_open: ledger.open_slots(now),
            keys: ledger.len(),
            answer_bytes: ledger.answer_bytes(),
        })
    }
}

fn refusals(count_of: impl Fn(RefusalReason) -> u64) -> BTreeMap<Name, u64> {
    RefusalReason::ALL
        .iter()
        .map(|reason| (Name::from(reason.as_str()), count_of(*reason)))
        .filter(|(_, count)| *count > 0)
        .collect()
}

fn retries(node: &Node) -> BTreeMap<Name, u64> {
    RetryReason::ALL
        .iter()
        .map(|reason| (Name::from(reason.as_str()), node.metrics.retries(*reason)))
        .filter(|(_, count)| *count > 0)
        .collect()
}
