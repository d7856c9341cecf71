//! The ledger on its way from one owner of slots to the next.

use std::sync::Arc;

use crate::claims::TransferSource;
use crate::claims::KeyState;
use crate::claims::Ledger;
use crate::claims::LedgerEntry;
use crate::claims::LedgerTransfer;
use crate::claims::MovedKey;
use crate::claims::MovedSlot;
use crate::claims::MovedState;
use crate::claims::TransferTarget;
use crate::claims::slot_of;
use crate::core::Name;
use crate::core::TimeMs;

/// News of a key for the node that was given its slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyUpdate {
    pub to: TransferTarget,
    pub key: MovedKey,
}

impl Ledger {
    /// The ledger of slots for their next owner, who will be told how the keys end that run here.
    ///
    /// The slot_lease has to mark the slots as given by now: then no further key starts in them, and
    /// the copy misses none.
    pub fn give(&mut self, now: TimeMs, slots: &[usize], to: &TransferTarget) -> LedgerTransfer {
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
        // A slot that is not held has no ledger here: its next owner has to wait in full.
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

    /// Takes out the news for nodes that were given slots. News that cannot be delivered may be
    /// dropped: the key then stays unknown there until it is forgotten.
    pub fn take_key_updates(&mut self) -> Vec<(Name, LedgerTransfer)> {
        let news = std::mem::take(&mut self.pending_updates);
        news.into_iter()
            .map(|news| self.update_transfer(news))
            .collect()
    }

    fn update_transfer(&self, news: KeyUpdate) -> (Name, LedgerTransfer) {
        let transfer = LedgerTransfer {
            service: self.service.clone(),
            id: news.to.transfer,
            from: self.instance,
            to: news.to.instance,
            slots: Vec::new(),
            keys: vec![news.key],
        };
        (news.to.node, transfer)
    }

    /// Takes in keys from another owner. They are facts about keys, so they may be taken in
    /// whether or not the slots follow. False when there is no room for all of them.
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
            self.receive_one(now, key, by);
        }
        true
    }

    fn receive_one(&mut self, now: TimeMs, moved: MovedKey, by: TransferSource) {
        let known = self.keys.get(&moved.key).map(|entry| &entry.state);
        let giver = match known {
            None => None,
            Some(KeyState::RunningElsewhere { by }) => Some(*by),
            Some(_) => return,
        };
        let state = match moved.state {
            MovedState::Running => KeyState::RunningElsewhere {
                by: giver.map_or(by, |known| known.latest(by)),
            },
            MovedState::MayHaveRun => KeyState::MayHaveRun,
            MovedState::Ran => KeyState::Ran {
                answer: moved.answer.map(Arc::new),
            },
            MovedState::NotStarted => {
                // The news may be older than a second transfer, in which the same key runs after
                // all: believing it would run the key here as well. So it only speaks for the
                // transfer that it belongs to.
                if giver == Some(by) {
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
        let at = self.ended.partition_point(|(other, _)| *other <= expires);
        self.ended.insert(at, (expires, moved.key.clone()));
        self.keep_answer(now, &moved.key);
    }
}
