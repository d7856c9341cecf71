//! Builds the published view incrementally, by changed service.

use std::sync::Arc;

use super::MemberTable;
use crate::core::FastSet;
use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;
use crate::core::View;

/// The last published view and the changes since then.
#[derive(Clone, Debug, Default)]
pub struct ViewBuilder {
    view: View,
    changed_nodes: FastSet<Name>,
    changed_services: FastSet<Name>,
}

impl ViewBuilder {
    /// Marks a member as changed. `services` are the ones to which it belonged and belongs.
    pub fn mark_changed<'a>(&mut self, node: &Name, services: impl Iterator<Item = &'a Name>) {
        self.changed_nodes.insert(node.clone());
        self.changed_services
            .extend(services.filter(|service| !service.is_empty()).cloned());
    }

    /// Whether the published view is out of date.
    pub fn is_stale(&self, cut_off_domains: &[Name]) -> bool {
        !self.changed_nodes.is_empty() || self.view.cut_off_domains != cut_off_domains
    }

    /// Builds the current view of the table. Only what changed is rebuilt. The rest is shared with
    /// the previous view.
    pub fn build(&mut self, table: &MemberTable, cut_off_domains: Vec<Name>) -> View {
        for service in self.changed_services.drain() {
            let before = self.view.targets(&service);
            let targets = targets_of(table, &service, before, &self.changed_nodes);
            match targets.is_empty() {
                true => self.view.services.remove(&service),
                false => self.view.services.insert(service, targets.into()),
            };
        }
        for node in self.changed_nodes.drain() {
            match table.get(&node) {
                Some(member) => self.view.nodes.insert(node, member.published.clone()),
                None => self.view.nodes.remove(&node),
            };
        }
        self.view.cut_off_domains = cut_off_domains;
        self.view.changes += 1;
        self.view.clone()
    }
}

/// The targets of a service that have neither died nor left, by node name: the unchanged ones from
/// `before`, and those of the changed nodes.
fn targets_of(
    table: &MemberTable,
    service: &Name,
    before: &[Arc<Target>],
    changed_nodes: &FastSet<Name>,
) -> Vec<Arc<Target>> {
    let unchanged = before.iter();
    let unchanged = unchanged.filter(|target| !changed_nodes.contains(&target.node));
    let changed = changed_nodes.iter().filter_map(|node| table.get(node));
    let changed = changed
        .map(|member| &member.published)
        .filter(|target| target.service == *service)
        .filter(|target| !matches!(target.state, TargetState::Dead | TargetState::Left));
    let mut targets: Vec<Arc<Target>> = unchanged.chain(changed).cloned().collect();
    targets.sort_unstable_by(|a, b| a.node.cmp(&b.node));
    targets
}
