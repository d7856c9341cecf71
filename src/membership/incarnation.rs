//! How incarnations are chosen without a disk or a wall clock.

/// The low bits tell two processes of one node apart that never heard of each other.
const PROCESS_BITS: u32 = 16;

/// The incarnation with which a process starts, before it has heard of an earlier one.
pub fn first_incarnation(random: u16) -> u64 {
    (1 << PROCESS_BITS) | u64::from(random)
}

/// The incarnation to take after `held`, which may be another process's: higher than it, and with
/// the low bits of `own`, so that two processes of one node never use the same one.
pub fn incarnation_after(held: u64, own: u64) -> u64 {
    let process_mask = (1 << PROCESS_BITS) - 1;
    let round = (held >> PROCESS_BITS).max(own >> PROCESS_BITS) + 1;
    (round << PROCESS_BITS) | (own & process_mask)
}
