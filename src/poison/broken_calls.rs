//! Calls whose connection to the backend server broke, kept until it is known whether the server
//! crashed.

use std::collections::VecDeque;

use crate::core::TimeMs;
use crate::poison::RunningRequest;

/// How long a broken call may be attributed to a crash, in milliseconds. A crashed backend server
/// refuses the next connection, and its successor reports within a few seconds.
const KEEP_MS: u64 = 10_000;
/// Maximum number of calls kept; no backend server runs more at once.
const MAX_CALLS: usize = 1_024;

/// Broken calls in the order in which they broke.
///
/// The backend server is not probed for each connection that breaks. A probe would cost the server
/// a connection and the caller time, and a crash is detected without it: the next connection is
/// refused, or a new backend server reports.
#[derive(Clone, Debug, Default)]
pub struct BrokenCalls {
    calls: VecDeque<(TimeMs, RunningRequest)>,
}

impl BrokenCalls {
    /// Records a call whose connection broke.
    pub fn record(&mut self, now: TimeMs, call: RunningRequest) {
        self.expire(now);
        if self.calls.len() >= MAX_CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back((now, call));
    }

    /// Returns and removes the calls that were running when the backend server crashed.
    pub fn take(&mut self, now: TimeMs) -> Vec<RunningRequest> {
        self.expire(now);
        self.calls.drain(..).map(|(_, call)| call).collect()
    }

    fn expire(&mut self, now: TimeMs) {
        let is_old = |(at, _): &(TimeMs, RunningRequest)| now.since(*at) > KEEP_MS;
        while self.calls.front().is_some_and(is_old) {
            self.calls.pop_front();
        }
    }
}
