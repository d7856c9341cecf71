//! Chooses where an entry sends a keyed call, from what it has learned about the owners of slots.

use crate::claims::SLOT_COUNT;
use crate::claims::slot_of;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::RefusalReason;
use crate::core::RunState;
use crate::wire::OwnerHint;

/// The largest number of services whose owners are cached. Beyond it, the whole cache is cleared
/// and learned again.
const MAX_SERVICES: usize = 1_024;

/// A cache of slot owners and of their latest stamps, learned from answers.
///
/// The cache may be out of date. This is safe, because the owner's ledger decides on each call. If
/// no owner is cached, the entry sends to any target of the service. The guard there refuses the
/// call and names the owner.
#[derive(Debug, Default)]
pub struct SlotRouter {
    services: FastMap<Name, Vec<Option<OwnerHint>>>,
    /// The latest stamp of each owner. One stamp covers all slots of an owner.
    stamps: FastMap<Name, u64>,
}

impl SlotRouter {
    /// The owner of the key's slot and its latest stamp, if known.
    pub fn route(&self, service: &str, key: &str) -> Option<OwnerHint> {
        let hints = self.services.get(service)?;
        let hint = hints[slot_of(service, key)].as_ref()?;
        Some(OwnerHint {
            stamp: self.stamps.get(&hint.node).copied().unwrap_or(0),
            ..hint.clone()
        })
    }

    /// Learns from the owner hint in an answer to a call with `key`.
    pub fn learn(&mut self, service: &Name, key: &str, hint: OwnerHint) {
        if self.services.len() >= MAX_SERVICES {
            self.services.clear();
            self.stamps.clear();
        }
        if hint.stamp != 0 {
            self.stamps.insert(hint.node.clone(), hint.stamp);
        }
        let hints = self
            .services
            .entry(service.clone())
            .or_insert_with(|| vec![None; SLOT_COUNT]);
        let known = &mut hints[slot_of(service, key)];
        if known.as_ref().is_none_or(|known| known.epoch <= hint.epoch) {
            *known = Some(hint);
        }
    }

    /// Removes the cached owner of the key's slot after it could not be reached. If the slot was
    /// taken over, another target of the service names the new owner.
    pub fn forget(&mut self, service: &str, key: &str) {
        if let Some(hints) = self.services.get_mut(service) {
            hints[slot_of(service, key)] = None;
        }
    }
}

/// The run state that an entry may report for a call that it refuses before it sent an attempt to
/// any guard.
///
/// A call without a key has no earlier request, so it has certainly not run. A key may have been
/// sent before, and only its owner's ledger records whether it ran (docs/AT_MOST_ONCE.md, "What
/// refusals say").
pub fn run_state_at_entry(has_key: bool) -> RunState {
    if has_key {
        RunState::Unknown
    } else {
        RunState::NotRun
    }
}

/// Whether an entry should resend a keyed call at once after a guard refused it for this reason.
/// The ledger makes every resend safe; after these reasons a resend can also succeed.
pub fn allows_immediate_resend(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NotOwner | RefusalReason::StaleAttempt
    )
}
