//! The one value by which work is kept or shed along a whole chain.

use serde::Deserialize;
use serde::Serialize;

/// A priority: a smaller value is more important and is shed later.
///
/// The class of the preset in force comes first (0 is the most important class); within a class
/// the rank of the root request decides, so every hop sheds the same requests and work already
/// done for a survivor is not thrown away further down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Priority(pub u32);

impl Priority {
    /// Joins a class (0 = most important) and a rank within it.
    pub fn new(class: u8, rank: u16) -> Self {
        Self((u32::from(class) << 16) | u32::from(rank))
    }

    /// The class, 0 being the most important.
    pub fn class(self) -> u8 {
        (self.0 >> 16) as u8
    }

    /// The rank within the class.
    pub fn rank(self) -> u16 {
        self.0 as u16
    }

    /// The value above which nothing exists: an admission level of this admits everything.
    pub const LOWEST: Self = Self(u32::MAX);
}
