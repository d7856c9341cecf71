//! An answer of the store, and the era that it is of.

/// What the store answered. Versions mean something within one era only: a store that was restored from
/// an older copy gives them out again, and its era rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answered<T> {
    pub era: u64,
    pub value: T,
}
