//! Balances slots between members: how many each should own, and who hands slots to whom.

use crate::claims::SLOT_COUNT;
use crate::claims::SlotMap;

/// A member that may receive slots, and how many it owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub instance: u64,
    pub owned: usize,
}

/// The members that may receive slots, in the order of the row.
pub fn candidates(map: &SlotMap, is_alive: impl Fn(u64) -> bool) -> Vec<Candidate> {
    map.members
        .iter()
        .filter(|member| member.serving && is_alive(member.instance))
        .map(|member| Candidate {
            instance: member.instance,
            owned: map.slots_of(member.instance).len(),
        })
        .collect()
}

/// The largest number of slots that each of `owners` members should own.
pub fn fair_share(owners: usize) -> usize {
    SLOT_COUNT.div_ceil(owners.max(1))
}

/// The receiver and the number of slots that `me` should hand over next, so that the members own
/// about the same number. Returns `None` when no move improves the balance.
pub fn next_hand_over(
    candidates: &[Candidate],
    me: u64,
    owned: usize,
    leaving: bool,
) -> Option<(u64, usize)> {
    let others = candidates
        .iter()
        .filter(|candidate| candidate.instance != me);
    let receiver = others.min_by_key(|candidate| (candidate.owned, candidate.instance))?;
    if owned == 0 {
        return None;
    }
    if leaving {
        let receivers = candidates.iter().filter(|other| other.instance != me);
        return Some((receiver.instance, owned.div_ceil(receivers.count())));
    }
    let too_many = owned > fair_share(candidates.len());
    if !too_many || owned < receiver.owned + 2 {
        return None;
    }
    Some((receiver.instance, (owned - receiver.owned) / 2))
}
