//! The row `slots/<service>` of the platform's table: who owns which slot of a service.

use serde::Deserialize;
use serde::Serialize;

use crate::claims::LeaseTerms;
use crate::claims::SLOT_COUNT;
use crate::core::Name;
use crate::errors::ClaimsError;

/// One slot as recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotEntry {
    /// The process instance that owns it; always that of a listed member.
    pub owner: Option<u64>,
    /// Rises by one with every change of the owner; 0 means that the slot was never owned.
    pub epoch: u64,
    /// The transfer that carried the ledger to this owner, 0 if none did.
    pub transfer: u64,
}

/// A process that may own slots and take them over.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    pub node: Name,
    /// Random for each process, so that a restarted node is another member.
    pub instance: u64,
    pub region: Name,
    /// Names the run of the VM and the addresses that the process has bound: another process with
    /// the same value can only exist after this one is gone.
    pub boot: u64,
    /// The durations it relies on as an owner; whoever takes over from it waits by these and not
    /// by settings of its own.
    pub terms: LeaseTerms,
    /// Its backend server takes work, so it may be given slots.
    pub serving: bool,
    /// The count of joins at which it was added.
    pub added: u64,
    /// As an owner: the count of joins up to which it knows the members, and so asks them all for
    /// promises. Members added later must not take its slots over by the short way.
    pub knows: u64,
}

/// The intention to take over the slots of a member that seems to be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Intent {
    pub id: u64,
    pub by: u64,
    pub victim: u64,
}

/// The whole row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotMap {
    /// Named by whoever wrote the row last, to recognise a write whose answer was lost.
    pub change: u64,
    /// How many members ever joined.
    pub joins: u64,
    pub slots: Vec<SlotEntry>,
    pub members: Vec<Member>,
    pub intents: Vec<Intent>,
}

impl SlotMap {
    /// The map of a service of which no row exists yet.
    pub fn empty() -> Self {
        Self {
            change: 0,
            joins: 0,
            slots: vec![SlotEntry::default(); SLOT_COUNT],
            members: Vec::new(),
            intents: Vec::new(),
        }
    }

    /// The name of the row.
    pub fn row_name(service: &str) -> String {
        format!("slots/{service}")
    }

    /// The row's value.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("plain structs always encode")
    }

    /// Reads the row's value.
    ///
    /// # Errors
    /// When the value is not a slot map or contradicts itself.
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

    /// The member of a process instance, to change it.
    pub fn member_mut(&mut self, instance: u64) -> Option<&mut Member> {
        self.members
            .iter_mut()
            .find(|member| member.instance == instance)
    }

    /// Adds a member; its `added` and `knows` are set here.
    pub fn join(&mut self, member: Member) {
        self.joins += 1;
        self.members.push(Member {
            added: self.joins,
            knows: self.joins,
            ..member
        });
    }

    /// Removes a member that owns nothing any more, and every intent by it or against it.
    pub fn remove(&mut self, instance: u64) {
        self.members.retain(|member| member.instance != instance);
        self.intents
            .retain(|intent| intent.by != instance && intent.victim != instance);
    }

    /// The slots of an owner, in order.
    pub fn slots_of(&self, instance: u64) -> Vec<usize> {
        let is_owner = |slot: &usize| self.slots[*slot].owner == Some(instance);
        (0..self.slots.len()).filter(is_owner).collect()
    }

    /// The slots without an owner, in order.
    pub fn unowned(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|slot| self.slots[*slot].owner.is_none())
            .collect()
    }

    /// Gives a slot to an owner under the next epoch.
    pub fn assign(&mut self, slot: usize, owner: Option<u64>, transfer: u64) {
        let entry = &mut self.slots[slot];
        entry.owner = owner;
        entry.epoch += 1;
        entry.transfer = transfer;
    }

    /// Whether somebody intends to take over the slots of `instance`.
    pub fn is_threatened(&self, instance: u64) -> bool {
        self.intents.iter().any(|intent| intent.victim == instance)
    }
}
