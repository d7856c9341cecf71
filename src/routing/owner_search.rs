//! The targets that a keyed call has asked for the owner of its slot.

use crate::core::Name;

/// Targets that were asked without success, by cause.
///
/// Guards against a call that is refused with `no_target` in the middle of a planned stop, while
/// slots change hands on a busy machine. The next owner of the slot is asked before it has read the
/// row that names it, and answers that it knows of no owner. It must be asked again once the former
/// owner names it. Only a target that cannot be reached is therefore ruled out for good.
#[derive(Clone, Debug, Default)]
pub struct OwnerSearch {
    unreachable: Vec<Name>,
    without_owner: Vec<Name>,
}

impl OwnerSearch {
    /// Records that the target could not be reached.
    pub fn record_unreachable(&mut self, node: Name) {
        self.unreachable.push(node);
    }

    /// Records that the target knew of no owner when it was asked.
    pub fn record_without_owner(&mut self, node: Name) {
        self.without_owner.push(node);
    }

    /// Whether a target that is named as the owner should be asked.
    pub fn may_be_owner(&self, node: &Name) -> bool {
        !self.unreachable.contains(node)
    }

    /// All targets asked without success. While no owner is named, other targets are tried first.
    pub fn tried(&self) -> Vec<Name> {
        self.unreachable
            .iter()
            .chain(&self.without_owner)
            .cloned()
            .collect()
    }
}
