//! Outcomes of recent attempts, for senders whose connection is half-open.
//!
//! Without this, if a middlebox drops the state of a connection, the sender waits for an answer
//! that never comes, although the call runs or ran. The sender therefore queries the outcome over
//! another connection. A query for an unseen attempt revokes it, so the sender's next attempt
//! cannot run together with a late arrival of the first.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use crate::control::AttemptStatus;
use crate::control::KeptAnswer;
use crate::core::AttemptId;
use crate::core::FastMap;
use crate::core::TimeMs;
use crate::node::kept_answer::kept_parts;

/// How long an ended attempt is remembered, in milliseconds.
const KEEP_ENDED_MS: u64 = 10_000;
/// How long a revoked attempt is refused, in milliseconds. It covers the time in which a connection
/// may still deliver delayed bytes.
const KEEP_REVOKED_MS: u64 = 600_000;
/// The maximum number of attempts remembered. The oldest ended or revoked ones are evicted first.
const MAX_ATTEMPTS: usize = 50_000;
/// The largest answer that is kept, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = 32 * 1024;
/// The maximum size of all kept answers together, in bytes.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

/// An answer as it was sent. It is converted to a [`KeptAnswer`] only when it is queried.
#[derive(Clone, Debug)]
pub struct EndedAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl EndedAnswer {
    /// Converts the answer to the form used in control calls.
    pub fn kept(&self) -> KeptAnswer {
        kept_parts(self.status, &self.headers, &self.body)
    }
}

#[derive(Clone, Debug)]
enum Entry {
    Running,
    Revoked,
    Ended(Option<EndedAnswer>),
}

#[derive(Debug, Default)]
struct State {
    entries: FastMap<AttemptId, Entry>,
    /// Ended attempts, ordered by their end.
    ended: VecDeque<(TimeMs, AttemptId)>,
    /// Revoked attempts, ordered by their revocation.
    revoked: VecDeque<(TimeMs, AttemptId)>,
    /// Every attempt that arrived after this time is remembered. Initially the start of the
    /// process.
    complete_since: TimeMs,
    kept_bytes: usize,
}

/// Whether an attempt that arrives may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    Fresh,
    /// A query reported the attempt as never seen, so the sender may have sent the call again.
    Revoked,
    /// The attempt arrived before.
    Repeated,
}

/// The recent attempts at this guard. Bounded in number, bytes and time.
#[derive(Debug, Default)]
pub struct Attempts {
    state: Mutex<State>,
}

impl Attempts {
    /// Records the arrival of an attempt.
    pub fn arrive(&self, now: TimeMs, attempt: AttemptId) -> Arrival {
        let mut state = self.lock();
        state.sweep(now);
        match state.entries.get(&attempt) {
            Some(Entry::Revoked) => Arrival::Revoked,
            Some(_) => Arrival::Repeated,
            None => {
                state.entries.insert(attempt, Entry::Running);
                Arrival::Fresh
            }
        }
    }

    /// Records the end of an attempt, with its answer if all of it is in memory. Only the first
    /// call for an attempt has an effect.
    pub fn end(&self, now: TimeMs, attempt: AttemptId, answer: Option<EndedAnswer>) {
        let mut state = self.lock();
        if !matches!(state.entries.get(&attempt), Some(Entry::Running)) {
            return;
        }
        let room = MAX_KEPT_BYTES.saturating_sub(state.kept_bytes);
        let room = room.min(MAX_KEPT_ANSWER_BYTES);
        let answer = answer.filter(|answer| answer.body.len() <= room);
        state.kept_bytes += answer.as_ref().map_or(0, |answer| answer.body.len());
        state.entries.insert(attempt, Entry::Ended(answer));
        state.ended.push_back((now, attempt));
    }

    /// The status of an attempt. An attempt that was never seen is revoked.
    pub fn status(&self, now: TimeMs, attempt: AttemptId) -> AttemptStatus {
        let mut state = self.lock();
        state.sweep(now);
        match state.entries.get(&attempt) {
            Some(Entry::Running) => AttemptStatus::InProgress,
            Some(Entry::Ended(Some(answer))) => AttemptStatus::Done(answer.kept()),
            Some(Entry::Ended(None)) => AttemptStatus::DoneWithoutAnswer,
            Some(Entry::Revoked) => state.never_seen(now),
            None => {
                state.entries.insert(attempt, Entry::Revoked);
                state.revoked.push_back((now, attempt));
                state.never_seen(now)
            }
        }
    }

    /// The number of attempts remembered.
    pub fn len(&self) -> usize {
        self.lock().entries.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl State {
    fn sweep(&mut self, now: TimeMs) {
        while self.is_due(self.ended.front(), now, KEEP_ENDED_MS) {
            if let Some((ended, attempt)) = self.ended.pop_front() {
                self.complete_since = self.complete_since.max(ended);
                self.forget(attempt);
            }
        }
        while self.is_due(self.revoked.front(), now, KEEP_REVOKED_MS) {
            if let Some((_, attempt)) = self.revoked.pop_front() {
                self.entries.remove(&attempt);
            }
        }
    }

    /// Reports for how long the record is complete. A guard that was restarted or has evicted the
    /// attempt would otherwise report it as never seen, and the call would run a second time. The
    /// sender trusts the report only for attempts that are younger than the record.
    fn never_seen(&self, now: TimeMs) -> AttemptStatus {
        AttemptStatus::NeverSeen {
            complete_for_ms: now.since(self.complete_since),
        }
    }

    fn is_due(&self, oldest: Option<&(TimeMs, AttemptId)>, now: TimeMs, keep_ms: u64) -> bool {
        let is_full = self.entries.len() >= MAX_ATTEMPTS;
        oldest.is_some_and(|(at, _)| is_full || now.since(*at) >= keep_ms)
    }

    fn forget(&mut self, attempt: AttemptId) {
        if let Some(Entry::Ended(Some(answer))) = self.entries.remove(&attempt) {
            self.kept_bytes -= answer.body.len();
        }
    }
}
