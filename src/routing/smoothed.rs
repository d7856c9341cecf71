//! Exponential smoothing of integers.

/// The smoothed value after a new one, which has a weight of one part in `share`. 0 means that
/// there is no value yet, and the first one is taken as it is.
pub fn smoothed(before: u64, new: u64, share: u64) -> u64 {
    match before {
        0 => new,
        _ => before - before / share + new / share,
    }
}
