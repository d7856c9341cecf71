//! Time in milliseconds. Decision modules use the monotonic time only.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

/// A moment on this process's monotonic clock, in milliseconds since the process started.
///
/// It never leaves the process. Messages carry remaining durations instead, because the clocks of
/// two VMs are not comparable (see docs/DESIGN.md, "Time").
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Milliseconds from `earlier` to `self`, or 0 if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for TimeMs {
    type Output = Self;

    fn add(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }
}

impl Sub<u64> for TimeMs {
    type Output = Self;

    fn sub(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_sub(duration_ms))
    }
}

impl fmt::Display for TimeMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// The source of [`TimeMs`]. It is read in I/O code, and decision modules receive the time as a
/// value.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts at 0 now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The current time in milliseconds.
    pub fn now(&self) -> TimeMs {
        TimeMs(self.origin.elapsed().as_millis() as u64)
    }

    /// The current time in microseconds, for latency histograms only.
    pub fn now_us(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The time of day in Unix milliseconds, for times that outlive the process. It may jump, in either
/// direction.
pub fn unix_ms() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    since_1970.map_or(0, |since| since.as_millis() as u64)
}
