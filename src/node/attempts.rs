//! What became of attempts, for senders whose connection went silent.
//!
//! Guards against a connection that something between the two ends has lost track of: the sender
//! hears nothing for good, though the call runs or ran. It asks here over another connection. It
//! holds because an attempt that was not seen is revoked by the question, so what the sender then
//! sends again cannot run beside a late arrival of the first.

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
/// How long a revoked attempt is refused: as long as a connection may deliver what it held back.
const KEEP_REVOKED_MS: u64 = 600_000;
/// Attempts remembered; the oldest ended or revoked ones go first.
const MAX_ATTEMPTS: usize = 50_000;
/// The largest answer that is kept, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = 32 * 1024;
/// All kept answers together, in bytes.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

/// An answer as it went out. Turned into a [`KeptAnswer`] only when it is asked for.
#[derive(Clone, Debug)]
pub struct EndedAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl EndedAnswer {
    /// The answer as it travels in a control call.
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
    /// Ended attempts in the order of their end.
    ended: VecDeque<(TimeMs, AttemptId)>,
    /// Revoked attempts in the order of their revocation.
    revoked: VecDeque<(TimeMs, AttemptId)>,
    /// Every attempt that arrived after this is remembered. At first the start of the process.
    complete_since: TimeMs,
    kept_bytes: usize,
}

/// Whether an attempt that arrives may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    Fresh,
    /// Its sender has been told that it was never seen.
    Revoked,
    /// It came before.
    Repeated,
}

/// The attempts that this guard saw lately. Bounded in number, bytes and time.
#[derive(Debug, Default)]
pub struct Attempts {
    state: Mutex<State>,
}

impl Attempts {
    /// Notes an arrival.
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

    /// Notes the end of an attempt, with its answer if that is held whole. The first word counts.
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

    /// What became of an attempt. One that was never seen is revoked.
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

    /// How many attempts are remembered.
    pub fn len(&self) -> usize {
        self.lock().entries.len()
    }

    /// Whether none is remembered.
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

    /// Guards against a guard that was started anew, or has forgotten the attempt: it would say that
    /// the attempt was never seen, and the call would run a second time. It holds because the sender
    /// believes this only of attempts younger than the memory.
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
