//! How long ago something was, as datagrams say it: in one byte.

use crate::core::TimeMs;

/// Milliseconds in a tenth of a second.
const TENTH_MS: u64 = 100;

/// The age of what was at `at`, rounded up so that it never gets younger by being passed on. The highest
/// value says longer ago, or never.
pub fn age_tenths(at: TimeMs, now: TimeMs) -> u8 {
    let tenths = now.since(at).div_ceil(TENTH_MS);
    u8::try_from(tenths).unwrap_or(u8::MAX)
}

/// When that was, if it is known.
pub fn moment_of(age_tenths: u8, now: TimeMs) -> Option<TimeMs> {
    let is_known = age_tenths < u8::MAX;
    is_known.then(|| now - u64::from(age_tenths) * TENTH_MS)
}
