//! Where an entry sends a keyed call: what it has learnt of the owners of slots.

use crate::claims::SLOT_COUNT;
use crate::claims::slot_of;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::RefusalReason;
use crate::core::RunState;
use crate::wire::OwnerHint;

/// How many services are remembered; beyond it all are forgotten and learnt again.
const MAX_SERVICES: usize = 1_024;

/// The owners of slots as answers named them, and their latest stamps.
///
/// It may be wrong at any time: the owner's ledger decides. An entry that knows no owner sends to
/// any target of the service, whose guard refuses and names the owner.
#[derive(Debug, Default)]
pub struct SlotRouter {
    services: FastMap<Name, Vec<Option<OwnerHint>>>,
    /// The latest stamp of each owner: one stamp serves all its slots.
    stamps: FastMap<Name, u64>,
}

impl SlotRouter {
    /// The owner of the key's slot and its stamp, as far as is known.
    pub fn route(&self, service: &str, key: &str) -> Option<OwnerHint> {
        let hints = self.services.get(service)?;
        let hint = hints[slot_of(service, key)].as_ref()?;
        Some(OwnerHint {
            stamp: self.stamps.get(&hint.node).copied().unwrap_or(0),
            ..hint.clone()
        })
    }

    /// Takes in the hint of an answer to a call with `key`.
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

    /// Forgets the owner of the key's slot, after it could not be reached: another target of the
    /// service knows of a take-over.
    pub fn forget(&mut self, service: &str, key: &str) {
        if let Some(hints) = self.services.get_mut(service) {
            hints[slot_of(service, key)] = None;
        }
    }
}

/// What an entry may say of a call that it refuses itself, before any guard was asked.
///
/// For a call without a key, this sending is all there is. A key may have been sent before, and
/// only its owner's ledger knows what became of it (docs/AT_MOST_ONCE.md, "What refusals say").
pub fn run_state_at_entry(has_key: bool) -> RunState {
    if has_key {
        RunState::Unknown
    } else {
        RunState::NotRun
    }
}

/// Whether an entry may send a keyed call again at once after this refusal of a guard. The ledger
/// makes every resend safe; these are the refusals after which one helps.
pub fn helps_to_resend(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NotOwner | RefusalReason::StaleAttempt
    )
}
