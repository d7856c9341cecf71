//! Selection of incarnations. It needs neither stored state nor a wall clock.

/// The low bits distinguish two processes of one node that have no data about each other.
const PROCESS_BITS: u32 = 16;

/// The incarnation with which a process starts, before it receives an earlier process's record.
pub fn first_incarnation(random: u16) -> u64 {
    (1 << PROCESS_BITS) | u64::from(random)
}

/// The incarnation that follows `held`, which may be another process's. It is higher than `held`
/// and keeps the low bits of `own`, so that two processes of one node never use the same
/// incarnation.
pub fn incarnation_after(held: u64, own: u64) -> u64 {
    let process_mask = (1 << PROCESS_BITS) - 1;
    let round = (held >> PROCESS_BITS).max(own >> PROCESS_BITS) + 1;
    (round << PROCESS_BITS) | (own & process_mask)
}
