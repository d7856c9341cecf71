//! The nodes that share the allowances.

use crate::core::Name;

/// The nodes known to a coordinator.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// The names of the living nodes of the own failure domain.
    pub own: Vec<Name>,
    /// The number of living nodes of each other failure domain, unreachable ones included.
    pub others: Vec<(Name, usize)>,
}

impl Fleet {
    pub fn nodes(&self) -> usize {
        let others = self.others.iter().map(|(_, nodes)| nodes);
        self.own.len() + others.sum::<usize>()
    }

    /// The fraction of all nodes that is in the own failure domain.
    pub(super) fn own_share(&self) -> f32 {
        self.own.len() as f32 / self.nodes().max(1) as f32
    }
}
