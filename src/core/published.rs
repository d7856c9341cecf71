//! What the control thread publishes and traffic threads read without locks.

use arc_swap::ArcSwap;

/// An immutable snapshot that one thread replaces and many read.
///
/// A reader may hold a snapshot that has just been replaced; everything decided from one is
/// therefore checked again where it matters (at the guard).
pub type Published<T> = ArcSwap<T>;
