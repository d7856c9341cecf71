//! Who owns the slot of a key, as a guard tells the entry that asked.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;

/// The owner of a slot as the answering guard knows it.
///
/// Entries learn owners from answers alone: no message spreads the slot maps (docs/AT_MOST_ONCE.md,
/// "How entries find the owner").
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerHint {
    /// The node whose guard owns the slot.
    pub node: Name,
    /// The epoch of the slot; a hint of a smaller one never replaces one of a larger.
    pub epoch: u64,
    /// The present stamp of the answering guard if it is the owner itself, else 0.
    pub stamp: u64,
}
