//! Snapshots that the control thread publishes and traffic threads read without locks.

use arc_swap::ArcSwap;

/// An immutable snapshot that one thread replaces and many threads read.
///
/// A reader may hold a snapshot that has just been replaced. Decisions based on a snapshot are
/// therefore checked again at the guard.
pub type Published<T> = ArcSwap<T>;
