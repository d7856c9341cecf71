//! Figures that follow what is seen slowly.

/// The smoothed figure after one more: one part in `share` of the new one goes in. Before the first one it
/// is 0, and the first one counts whole.
pub fn smoothed(before: u64, new: u64, share: u64) -> u64 {
    match before {
        0 => new,
        _ => before - before / share + new / share,
    }
}
