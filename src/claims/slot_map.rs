//! The row `slots/<service>` of the platform's table, which records the owner of each slot of a
//! service.

use serde::Deserialize;
use serde::Serialize;

use crate::claims::LeaseTerms;
use crate::claims::SLOT_COUNT;
use crate::core::Name;
use crate::errors::ClaimsError;

/// One slot in the row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotEntry {
    /// Process instance of the owner, which is always a listed member.
    pub owner: Option<u64>,
    /// Increases by one with every change of the owner. 0 means that the slot was never owned.
    pub epoch: u64,
    /// The transfer that carried the ledger to this owner, or 0 if there was none.
    pub transfer: u64,
}

/// A process that may own slots and take over those of others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    pub node: Name,
    /// Random number of the process. A restarted node has another one and is another member.
    pub instance: u64,
    pub region: Name,
    /// Identifies the boot of the VM and the addresses that the process has bound. Another process
    /// with the same value can exist only after this one has ended.
    pub boot: u64,
    /// The durations that the process relies on as an owner. A member that takes over from it
    /// derives its waits from these and not from its own settings.
    pub terms: LeaseTerms,
    /// Its backend server accepts work, so the member may receive slots.
    pub serving: bool,
    /// The value of `joins` at which it was added.
    pub added: u64,
    /// The value of `joins` when this member last changed the row. As an owner, it asks all members
    /// of its region that had joined by then for promises. A member that joined later has to wait
    /// for [`LeaseTerms::outage_expiry_wait_ms`] before it takes the owner's slots over.
    pub knows: u64,
}

/// Announces that one member will take over the slots of another that is missing from its
/// membership view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Intent {
    pub id: u64,
    pub by: u64,
    pub victim: u64,
}

/// The value of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotMap {
    /// Random number chosen by the last writer. It shows in the row and in logs whether a write
    /// whose answer was lost took effect. The lease manager itself compares versions.
    pub change: u64,
    /// How many members have ever joined.
    pub joins: u64,
    pub slots: Vec<SlotEntry>,
    pub members: Vec<Member>,
    pub intents: Vec<Intent>,
}

impl SlotMap {
    /// The map of a service that has no row yet.
    pub fn empty() -> Self {
        Self {
            change: 0,
            joins: 0,
            slots: vec![SlotEntry::default(); SLOT_COUNT],
            members: Vec::new(),
            intents: Vec::new(),
        }
    }

    /// The key of the row in the table.
    pub fn row_name(service: &str) -> String {
        format!("slots/{service}")
    }

    /// Encodes the value of the row.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("plain structs always encode")
    }

    /// Decodes the value of the row.
    ///
    /// # Errors
    /// When the value is not a slot map, has a number of slots other than [`SLOT_COUNT`], or names
    /// an owner that is not a listed member.
    pub fn decode(value: &[u8]) -> Result<Self, ClaimsError> {
        let map: Self =
            serde_json::from_slice(value).map_err(|source| ClaimsError::Row { source })?;
        if map.slots.len() != SLOT_COUNT {
            let slots = map.slots.len();
            return Err(ClaimsError::SlotCount { slots });
        }
        let unlisted = |owner: &u64| map.member(*owner).is_none();
        let owners = map.slots.iter().filter_map(|slot| slot.owner);
        match owners.into_iter().find(unlisted) {
            Some(owner) => Err(ClaimsError::UnlistedOwner { owner }),
            None => Ok(map),
        }
    }

    /// The member of a process instance.
    pub fn member(&self, instance: u64) -> Option<&Member> {
        self.members
            .iter()
            .find(|member| member.instance == instance)
    }

    /// The member of a process instance, for changes.
    pub fn member_mut(&mut self, instance: u64) -> Option<&mut Member> {
        self.members
            .iter_mut()
            .find(|member| member.instance == instance)
    }

    /// Adds a member and sets its `added` and `knows`.
    pub fn join(&mut self, member: Member) {
        self.joins += 1;
        self.members.push(Member {
            added: self.joins,
            knows: self.joins,
            ..member
        });
    }

    /// Removes a member that owns no slots any more, and every intent by it or against it.
    pub fn remove(&mut self, instance: u64) {
        self.members.retain(|member| member.instance != instance);
        self.intents
            .retain(|intent| intent.by != instance && intent.victim != instance);
    }

    /// The slots of an owner, in ascending order.
    pub fn slots_of(&self, instance: u64) -> Vec<usize> {
        let is_owner = |slot: &usize| self.slots[*slot].owner == Some(instance);
        (0..self.slots.len()).filter(is_owner).collect()
    }

    /// The slots without an owner, in ascending order.
    pub fn unowned(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|slot| self.slots[*slot].owner.is_none())
            .collect()
    }

    /// Assigns a slot to an owner and increases its epoch.
    pub fn assign(&mut self, slot: usize, owner: Option<u64>, transfer: u64) {
        let entry = &mut self.slots[slot];
        entry.owner = owner;
        entry.epoch += 1;
        entry.transfer = transfer;
    }

    /// Whether a member has announced that it will take over the slots of `instance`.
    pub fn has_intent_against(&self, instance: u64) -> bool {
        self.intents.iter().any(|intent| intent.victim == instance)
    }
}
