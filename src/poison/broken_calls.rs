//! Calls whose connection to the backend server broke, until it is known whether it crashed.

use std::collections::VecDeque;

use crate::core::TimeMs;
use crate::poison::RunningRequest;

/// How long a broken call may be held against a crash, in milliseconds: a backend server that has
/// crashed refuses the next connection, and the one after it reports within a few seconds.
const KEEP_MS: u64 = 10_000;
/// Calls remembered at most: more than any backend server runs at once is not needed.
const MOST_CALLS: usize = 1_024;

/// Broken calls in the order in which they broke.
///
/// Guards against asking the backend server whether it lives for each connection that breaks: that
/// costs it a connection, and the caller the time. Whether it crashed shows by itself.
#[derive(Clone, Debug, Default)]
pub struct BrokenCalls {
    calls: VecDeque<(TimeMs, RunningRequest)>,
}

impl BrokenCalls {
    /// Notes a call that broke.
    pub fn note(&mut self, now: TimeMs, call: RunningRequest) {
        self.expire(now);
        if self.calls.len() >= MOST_CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back((now, call));
    }

    /// The backend server has crashed: answers what was running then, and forgets it.
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
