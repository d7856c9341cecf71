//! Tracks which nodes share the allowances of accounts, and which of them are coordinators.

use std::collections::BTreeMap;

use crate::accounts::EntryAllowances;
use crate::accounts::Fleet;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::core::View;

/// The number of coordinators in each failure domain: two, so the data survives the failure of one.
const COORDINATORS_PER_DOMAIN: usize = 2;
/// A dead node is counted for this time, in milliseconds: it may be alive on the other side of a
/// network partition and still use its share.
const DEAD_COUNTED_MS: u64 = EntryAllowances::SHARE_VALID_MS;

/// The nodes and coordinators as of the last view.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetWatch {
    view_change: Option<u64>,
    /// When each dead node was first seen as dead.
    dead: FastMap<Name, TimeMs>,
    /// When the next dead node stops being counted.
    next_expiry: Option<TimeMs>,
    coordinators: BTreeMap<Name, Vec<Name>>,
}

impl FleetWatch {
    /// Updates from the view. Returns the fleet, if it may have changed.
    pub(super) fn update(&mut self, now: TimeMs, view: &View, own: &Name) -> Option<Fleet> {
        let has_expired = self.next_expiry.is_some_and(|expiry| now >= expiry);
        if self.view_change == Some(view.changes) && !has_expired {
            return None;
        }
        self.track_dead(now, view);
        self.view_change = Some(view.changes);
        let mut present: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        let mut coordinators: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for node in view.nodes.values() {
            let is_counted = match node.state {
                TargetState::Left => false,
                TargetState::Dead => self.is_recently_dead(now, &node.node),
                _ => true,
            };
            if is_counted {
                let nodes = present.entry(node.domain.clone()).or_default();
                nodes.push(node.node.clone());
            }
            if !matches!(node.state, TargetState::Left | TargetState::Dead) {
                let nodes = coordinators.entry(node.domain.clone()).or_default();
                nodes.push(node.node.clone());
            }
        }
        for nodes in coordinators.values_mut() {
            nodes.sort_unstable();
            nodes.truncate(COORDINATORS_PER_DOMAIN);
        }
        self.coordinators = coordinators;
        let others = present.iter().filter(|(domain, _)| *domain != own);
        Some(Fleet {
            others: others
                .map(|(domain, nodes)| (domain.clone(), nodes.len()))
                .collect(),
            own: present.get(own).cloned().unwrap_or_default(),
        })
    }

    /// The coordinators of a failure domain; the first one replies to usage reports.
    pub(super) fn coordinators(&self, domain: &Name) -> &[Name] {
        self.coordinators
            .get(domain)
            .map_or(&[], |coordinators| coordinators)
    }

    /// The coordinators of all other failure domains.
    pub(super) fn other_coordinators(&self, own: &Name) -> impl Iterator<Item = &Name> {
        let others = self
            .coordinators
            .iter()
            .filter(move |(domain, _)| *domain != own);
        others.flat_map(|(_, coordinators)| coordinators)
    }

    fn is_recently_dead(&self, now: TimeMs, node: &Name) -> bool {
        let since = self.dead.get(node);
        since.is_some_and(|since| now.since(*since) < DEAD_COUNTED_MS)
    }

    fn track_dead(&mut self, now: TimeMs, view: &View) {
        let is_dead = |node: &Name| {
            let node = view.nodes.get(node);
            node.is_some_and(|node| node.state == TargetState::Dead)
        };
        self.dead.retain(|node, _| is_dead(node));
        // A node that was dead in this node's first view is not counted.
        let since = match self.view_change {
            Some(_) => now,
            None => TimeMs::default(),
        };
        let dead = view.nodes.values().filter(|node| is_dead(&node.node));
        for node in dead {
            self.dead.entry(node.node.clone()).or_insert(since);
        }
        let expiries = self.dead.values().map(|since| *since + DEAD_COUNTED_MS);
        self.next_expiry = expiries.filter(|expiry| *expiry > now).min();
    }
}
