//! The owner of a key's slot, as a guard reports it to the entry.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// The owner of a slot, as far as the answering guard knows.
///
/// Entries learn owners only from answers: no message distributes the slot maps
/// (docs/AT_MOST_ONCE.md, "How entries find the owner").
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerHint {
    /// The node whose guard owns the slot.
    pub node: Name,
    /// The epoch of the slot. A hint with a smaller epoch never replaces one with a larger epoch.
    pub epoch: u64,
    /// The current stamp of the answering guard if the guard is the owner, else 0.
    pub stamp: u64,
}
