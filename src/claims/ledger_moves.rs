//! Moves ledger entries from one owner of slots to the next.

use std::sync::Arc;

use crate::claims::KeyState;
use crate::claims::Ledger;
use crate::claims::LedgerEntry;
use crate::claims::LedgerTransfer;
use crate::claims::MovedKey;
use crate::claims::MovedSlot;
use crate::claims::MovedState;
use crate::claims::TransferSource;
use crate::claims::TransferTarget;
use crate::claims::slot_of;
use crate::core::Name;
use crate::core::TimeMs;

/// An update of one key for the node that received its slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyUpdate {
    pub to: TransferTarget,
    pub key: MovedKey,
}

impl Ledger {
    /// Exports the ledger of slots for their next owner, and registers the owner for updates of the
    /// keys that still run here.
    ///
    /// The slot lease must already mark the slots as being handed over. No further key then starts
    /// in them, so the copy is complete.
    pub fn export_slots(
        &mut self,
        now: TimeMs,
        slots: &[usize],
        to: &TransferTarget,
    ) -> LedgerTransfer {
        self.mark_moved(slots, to);
        LedgerTransfer {
            service: self.service.clone(),
            id: to.transfer,
            from: self.instance,
            to: to.instance,
            slots: slots
                .iter()
                .map(|slot| self.moved_slot(now, *slot))
                .collect(),
            keys: self.keys_of(now, slots),
        }
    }

    fn moved_slot(&self, now: TimeMs, slot: usize) -> MovedSlot {
        let held = self.slot_lease.held[slot];
        // This process has no ledger for a slot that it does not hold, so the next owner waits for
        // a full grace period.
        let full_ms = self.limits.grace_ms();
        MovedSlot {
            slot: slot as u8,
            grace_left_ms: held.map_or(full_ms, |held| held.grace_until.since(now)),
        }
    }

    fn keys_of(&self, now: TimeMs, slots: &[usize]) -> Vec<MovedKey> {
        let in_slots = |key: &&Name| slots.contains(&slot_of(&self.service, key));
        self.keys
            .keys()
            .filter(in_slots)
            .filter_map(|key| self.moved_key(now, key))
            .collect()
    }

    pub(super) fn moved_key(&self, now: TimeMs, key: &Name) -> Option<MovedKey> {
        let entry = self.keys.get(key)?;
        let (state, answer) = match &entry.state {
            KeyState::Running { .. } | KeyState::RunningElsewhere { .. } => {
                (MovedState::Running, None)
            }
            KeyState::Ran { answer } => (MovedState::Ran, answer.as_deref().cloned()),
            KeyState::MayHaveRun => (MovedState::MayHaveRun, None),
        };
        let left_ms = match state {
            MovedState::Running => self.limits.retention_ms(),
            _ => entry.expires.since(now),
        };
        Some(MovedKey {
            key: key.clone(),
            fingerprint: entry.fingerprint,
            state,
            keep_ms: left_ms,
            answer,
        })
    }

    fn mark_moved(&mut self, slots: &[usize], to: &TransferTarget) {
        for (key, entry) in &mut self.keys {
            if let KeyState::Running { moved_to } = &mut entry.state
                && slots.contains(&slot_of(&self.service, key))
            {
                *moved_to = Some(to.clone());
            }
        }
    }

    /// Takes the pending key updates, with the node that each is for. An update that cannot be
    /// delivered may be dropped: the receiver then answers `unknown` for the key until it expires.
    pub fn take_key_updates(&mut self) -> Vec<(Name, LedgerTransfer)> {
        let updates = std::mem::take(&mut self.pending_updates);
        updates
            .into_iter()
            .map(|update| self.update_transfer(update))
            .collect()
    }

    fn update_transfer(&self, update: KeyUpdate) -> (Name, LedgerTransfer) {
        let transfer = LedgerTransfer {
            service: self.service.clone(),
            id: update.to.transfer,
            from: self.instance,
            to: update.to.instance,
            slots: Vec::new(),
            keys: vec![update.key],
        };
        (update.to.node, transfer)
    }

    /// Adds keys from another owner. The entries are true whether or not the slots follow, so they
    /// may be added in either case. Returns false if there is no room for all of them.
    pub fn receive(&mut self, now: TimeMs, transfer: LedgerTransfer) -> bool {
        self.sweep(now);
        if self.keys.len() + transfer.keys.len() > self.bounds.max_keys {
            return false;
        }
        let by = TransferSource {
            instance: transfer.from,
            transfer: transfer.id,
        };
        for key in transfer.keys {
            self.receive_key(now, key, by);
        }
        true
    }

    fn receive_key(&mut self, now: TimeMs, moved: MovedKey, by: TransferSource) {
        let known = self.keys.get(&moved.key).map(|entry| &entry.state);
        let known_source = match known {
            None => None,
            Some(KeyState::RunningElsewhere { by }) => Some(*by),
            Some(_) => return,
        };
        let state = match moved.state {
            MovedState::Running => KeyState::RunningElsewhere {
                by: known_source.map_or(by, |known| known.latest(by)),
            },
            MovedState::MayHaveRun => KeyState::MayHaveRun,
            MovedState::Ran => KeyState::Ran {
                answer: moved.answer.map(Arc::new),
            },
            MovedState::NotStarted => {
                // This update may be older than a second transfer, after which the same key did run
                // at the sender. Removing the key would then run it here as well. The update is
                // therefore applied only if it belongs to the transfer that delivered the key.
                if known_source == Some(by) {
                    self.keys.remove(&moved.key);
                }
                return;
            }
        };
        let expires = now + moved.keep_ms;
        let entry = LedgerEntry {
            fingerprint: moved.fingerprint,
            state,
            expires,
        };
        self.keys.insert(moved.key.clone(), entry);
        let at = self
            .expiry_queue
            .partition_point(|(other, _)| *other <= expires);
        self.expiry_queue.insert(at, (expires, moved.key.clone()));
        self.keep_answer(now, &moved.key);
    }
}
