//! An answer of the store, with the era in which it was given.

/// An answer of the store.
///
/// Versions can be compared only within one era. A store that was restored from an older backup
/// assigns the same versions again, and increments its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answered<T> {
    pub era: u64,
    pub value: T,
}
