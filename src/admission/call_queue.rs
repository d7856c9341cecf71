//! The queue of calls at a guard, most important first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::admission::OfferedCall;
use crate::core::FastMap;
use crate::core::Priority;
use crate::core::TimeMs;

/// The order in which waiting calls are started: earliest due time first, then class, depth, rank
/// and arrival. Deeper calls come first because more work has been done for them already. The rank
/// is that of the request, so the same requests survive at every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    due: TimeMs,
    class: u8,
    depth: Reverse<u8>,
    rank: u16,
    ticket: u64,
}

impl QueuePosition {
    fn of(call: &OfferedCall) -> Self {
        Self {
            due: call.due,
            class: call.priority.class(),
            depth: Reverse(call.depth),
            rank: call.priority.rank(),
            ticket: call.ticket,
        }
    }
}

/// A queued call and the time at which it was queued.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingCall {
    pub call: OfferedCall,
    pub since: TimeMs,
}

impl WaitingCall {
    /// When its allowed wait or its deadline ends, whichever is earlier.
    fn expires_at(&self) -> TimeMs {
        let longest = self.since + u64::from(self.call.wait_ms);
        longest.min(self.call.deadline)
    }
}

/// Waiting calls by position, by ticket and by expiry. [`crate::admission::Admission`] bounds their
/// number and evicts the least important.
#[derive(Clone, Debug, Default)]
pub(super) struct CallQueue {
    by_position: BTreeMap<QueuePosition, WaitingCall>,
    by_ticket: FastMap<u64, QueuePosition>,
    by_expiry: BTreeSet<(TimeMs, u64)>,
}

impl CallQueue {
    pub fn len(&self) -> usize {
        self.by_position.len()
    }

    /// The number of waiting calls that a level admits, counted up to `max`.
    pub fn count_admitted(&self, level: Priority, max: usize) -> usize {
        self.by_position
            .values()
            .take_while(|waiting| waiting.call.priority.class() <= level.class())
            .filter(|waiting| waiting.call.priority <= level)
            .take(max)
            .count()
    }

    pub fn push(&mut self, call: OfferedCall, now: TimeMs) {
        let position = QueuePosition::of(&call);
        let waiting = WaitingCall { call, since: now };
        self.by_expiry.insert((waiting.expires_at(), call.ticket));
        self.by_ticket.insert(call.ticket, position);
        self.by_position.insert(position, waiting);
    }

    /// Whether `call` would be started before all waiting calls.
    pub fn would_be_first(&self, call: &OfferedCall) -> bool {
        let first = self.by_position.keys().next();
        first.is_none_or(|first| QueuePosition::of(call) < *first)
    }

    /// Whether `call` would be started before the last waiting call.
    pub fn outranks_last(&self, call: &OfferedCall) -> bool {
        let last = self.by_position.keys().next_back();
        last.is_some_and(|last| QueuePosition::of(call) < *last)
    }

    /// The time since which the first call has waited, if a call of a less important class waits as
    /// well.
    pub fn inversion_since(&self) -> Option<TimeMs> {
        let (first, waiting) = self.by_position.first_key_value()?;
        let (last, _) = self.by_position.last_key_value()?;
        (first.class < last.class).then_some(waiting.since)
    }

    pub fn pop_first(&mut self) -> Option<WaitingCall> {
        let (_, waiting) = self.by_position.pop_first()?;
        self.forget(&waiting);
        Some(waiting)
    }

    pub fn pop_last(&mut self) -> Option<WaitingCall> {
        let (_, waiting) = self.by_position.pop_last()?;
        self.forget(&waiting);
        Some(waiting)
    }

    /// Removes a call whose allowed wait or deadline has ended.
    pub fn pop_expired(&mut self, now: TimeMs) -> Option<WaitingCall> {
        let &(at, ticket) = self.by_expiry.first()?;
        if at > now {
            return None;
        }
        self.remove(ticket)
    }

    pub fn remove(&mut self, ticket: u64) -> Option<WaitingCall> {
        let position = self.by_ticket.get(&ticket)?;
        let waiting = self.by_position.remove(position)?;
        self.forget(&waiting);
        Some(waiting)
    }

    fn forget(&mut self, waiting: &WaitingCall) {
        self.by_ticket.remove(&waiting.call.ticket);
        let entry = (waiting.expires_at(), waiting.call.ticket);
        self.by_expiry.remove(&entry);
    }
}
