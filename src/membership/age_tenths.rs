//! Ages in tenths of a second, encoded in one byte for datagrams.

use crate::core::TimeMs;

const TENTH_MS: u64 = 100;

/// The age of an event at `at`. It is rounded up, so that it never gets younger when it is
/// forwarded. The highest value means that it is older than 25.4 s, or that there was no such
/// event.
pub fn age_tenths(at: TimeMs, now: TimeMs) -> u8 {
    let tenths = now.since(at).div_ceil(TENTH_MS);
    u8::try_from(tenths).unwrap_or(u8::MAX)
}

/// The time of an event of this age, or `None` for the highest value.
pub fn time_from_age(age_tenths: u8, now: TimeMs) -> Option<TimeMs> {
    let is_known = age_tenths < u8::MAX;
    is_known.then(|| now - u64::from(age_tenths) * TENTH_MS)
}
