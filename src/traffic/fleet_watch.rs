//! Who is there, as keepers of allowances see it.

use std::collections::BTreeMap;

use crate::accounts::EntryAllowances;
use crate::accounts::Fleet;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::core::View;

/// Keepers of each failure domain: two, so that what is known survives one of them.
const KEEPERS: usize = 2;
/// A dead node counts as there for so long, in milliseconds: it may be alive behind a cut and go on using
/// its share.
const DEAD_COUNTS_MS: u64 = EntryAllowances::SHARE_VALID_MS;

/// Follows the view.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetWatch {
    at_change: Option<u64>,
    /// Since when nodes are dead.
    dead: FastMap<Name, TimeMs>,
    /// When the first of them counts no longer.
    next_expiry: Option<TimeMs>,
    keepers: BTreeMap<Name, Vec<Name>>,
}

impl FleetWatch {
    /// Who is there, if that has changed.
    pub(super) fn follow(&mut self, now: TimeMs, view: &View, own: &Name) -> Option<Fleet> {
        let has_expired = self.next_expiry.is_some_and(|expiry| now >= expiry);
        if self.at_change == Some(view.changes) && !has_expired {
            return None;
        }
        self.note_dead(now, view);
        self.at_change = Some(view.changes);
        let mut present: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        let mut keepers: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
        for node in view.nodes.values() {
            let is_counted = match node.state {
                TargetState::Left => false,
                TargetState::Dead => self.counts_though_dead(now, &node.node),
                _ => true,
            };
            if is_counted {
                let nodes = present.entry(node.domain.clone()).or_default();
                nodes.push(node.node.clone());
            }
            if !matches!(node.state, TargetState::Left | TargetState::Dead) {
                let nodes = keepers.entry(node.domain.clone()).or_default();
                nodes.push(node.node.clone());
            }
        }
        for nodes in keepers.values_mut() {
            nodes.sort_unstable();
            nodes.truncate(KEEPERS);
        }
        self.keepers = keepers;
        let others = present.iter().filter(|(domain, _)| *domain != own);
        Some(Fleet {
            others: others
                .map(|(domain, nodes)| (domain.clone(), nodes.len()))
                .collect(),
            own: present.get(own).cloned().unwrap_or_default(),
        })
    }

    /// The keepers of a failure domain, the one that answers first.
    pub(super) fn keepers(&self, domain: &Name) -> &[Name] {
        self.keepers.get(domain).map_or(&[], |keepers| keepers)
    }

    /// The keepers of all other failure domains.
    pub(super) fn other_keepers(&self, own: &Name) -> impl Iterator<Item = &Name> {
        let others = self
            .keepers
            .iter()
            .filter(move |(domain, _)| *domain != own);
        others.flat_map(|(_, keepers)| keepers)
    }

    fn counts_though_dead(&self, now: TimeMs, node: &Name) -> bool {
        let since = self.dead.get(node);
        since.is_some_and(|since| now.since(*since) < DEAD_COUNTS_MS)
    }

    fn note_dead(&mut self, now: TimeMs, view: &View) {
        let is_dead = |node: &Name| {
            let node = view.nodes.get(node);
            node.is_some_and(|node| node.state == TargetState::Dead)
        };
        self.dead.retain(|node, _| is_dead(node));
        // One that was dead before this node saw it alive counts no more.
        let since = match self.at_change {
            Some(_) => now,
            None => TimeMs::default(),
        };
        let dead = view.nodes.values().filter(|node| is_dead(&node.node));
        for node in dead {
            self.dead.entry(node.node.clone()).or_insert(since);
        }
        let expiries = self.dead.values().map(|since| *since + DEAD_COUNTS_MS);
        self.next_expiry = expiries.filter(|expiry| *expiry > now).min();
    }
}
