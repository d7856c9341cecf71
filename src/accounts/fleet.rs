//! Which nodes share the allowances.

use crate::core::Name;

/// What a keeper knows of who is there.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The names of the living nodes of the own failure domain.
    pub own: Vec<Name>,
    /// The living nodes of each other failure domain, those that cannot be reached included.
    pub others: Vec<(Name, usize)>,
}

impl Fleet {
    /// How many nodes there are.
    pub fn nodes(&self) -> usize {
        let others = self.others.iter().map(|(_, nodes)| nodes);
        self.own.len() + others.sum::<usize>()
    }

    /// The part of all nodes that are of the own failure domain.
    pub(super) fn own_part(&self) -> f32 {
        self.own.len() as f32 / self.nodes().max(1) as f32
    }
}
