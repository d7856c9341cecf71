//! One node of the simulated fleet.

use sassafrasgap::accounts::AllowanceBound;
use sassafrasgap::accounts::AllowanceCoordinator;
use sassafrasgap::accounts::EntryAllowances;
use sassafrasgap::accounts::Fleet;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;

pub struct Node {
    pub starts_at: TimeMs,
    /// Whether the process has run from the beginning, so that it was never restarted.
    pub is_first: bool,
    pub entry: EntryAllowances,
    pub coordinator: AllowanceCoordinator,
}

impl Node {
    pub fn new(
        at: usize,
        domain: usize,
        bound: AllowanceBound,
        is_first: bool,
        starts_at: TimeMs,
        process: u32,
    ) -> Self {
        debug_assert!(at >= domain);
        Self {
            starts_at,
            is_first,
            entry: EntryAllowances::new(bound, is_first, process, starts_at),
            coordinator: AllowanceCoordinator::new(is_first, starts_at),
        }
    }
}

pub fn name(at: usize) -> Name {
    Name::from(format!("n{at:04}"))
}

pub fn domain(at: usize) -> Name {
    Name::from(format!("d{at}"))
}

/// The fleet as seen from the failure domain `own`, without the nodes in `gone`.
pub fn fleet(own: usize, domains: usize, nodes: usize, gone: &[usize]) -> Fleet {
    let is_present = |at: &usize| !gone.contains(at);
    let of = |domain: usize| {
        let nodes = (0..nodes).filter(is_present);
        nodes.filter(move |at| at % domains == domain)
    };
    let others = (0..domains).filter(|each| *each != own);
    Fleet {
        own: of(own).map(name).collect(),
        others: others
            .map(|each| (domain(each), of(each).count()))
            .collect(),
    }
}
