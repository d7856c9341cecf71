//! The value by which every hop of a call chain decides which requests to shed.

use serde::Deserialize;
use serde::Serialize;

/// A priority: a smaller value is more important and is shed later.
///
/// It is ordered by the class in the current preset first (0 is the most important class). Within a
/// class it is ordered by the rank of the root request. Every hop therefore sheds the same
/// requests, and work already done for an admitted request is not wasted by shedding it downstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Priority(pub u32);

impl Priority {
    /// Combines a class (0 is the most important) and a rank within it.
    pub fn new(class: u8, rank: u16) -> Self {
        Self((u32::from(class) << 16) | u32::from(rank))
    }

    /// The class; 0 is the most important.
    pub fn class(self) -> u8 {
        (self.0 >> 16) as u8
    }

    /// The rank within the class.
    pub fn rank(self) -> u16 {
        self.0 as u16
    }

    /// The least important priority: an admission level of this value admits everything.
    pub const LOWEST: Self = Self(u32::MAX);
}
