//! The calls that wait at a guard, most important first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::admission::QueuedCall;
use crate::core::FastMap;
use crate::core::Priority;
use crate::core::TimeMs;

/// The order in which waiting calls are started: what is due first, class, then deeper calls (more work has been done
/// for them already), then the rank of the request (the same requests survive at every hop), then
/// arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    due: TimeMs,
    class: u8,
    depth: Reverse<u8>,
    rank: u16,
    ticket: u64,
}

impl Place {
    fn of(call: &QueuedCall) -> Self {
        Self {
            due: call.due,
            class: call.priority.class(),
            depth: Reverse(call.depth),
            rank: call.priority.rank(),
            ticket: call.ticket,
        }
    }
}

/// A call and the times that decide about it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub call: QueuedCall,
    pub since: TimeMs,
}

impl Waiting {
    /// When it has waited as long as it may, for whichever reason comes first.
    fn gives_up_at(&self) -> TimeMs {
        let longest = self.since + u64::from(self.call.wait_ms);
        longest.min(self.call.deadline)
    }
}

/// Waiting calls, by place, by ticket and by the time at which they give up. The bound on their
/// number is kept by [`crate::admission::Admission`], which evicts the least important.
#[derive(Clone, Debug, Default)]
pub(super) struct CallQueue {
    by_place: BTreeMap<Place, Waiting>,
    by_ticket: FastMap<u64, Place>,
    by_give_up: BTreeSet<(TimeMs, u64)>,
}

impl CallQueue {
    pub fn len(&self) -> usize {
        self.by_place.len()
    }

    /// How many waiting calls a level admits, counted no further than `at_most`.
    pub fn count_within(&self, level: Priority, at_most: usize) -> usize {
        self.by_place
            .values()
            .take_while(|waiting| waiting.call.priority.class() <= level.class())
            .filter(|waiting| waiting.call.priority <= level)
            .take(at_most)
            .count()
    }

    pub fn push(&mut self, call: QueuedCall, now: TimeMs) {
        let place = Place::of(&call);
        let waiting = Waiting { call, since: now };
        self.by_give_up.insert((waiting.gives_up_at(), call.ticket));
        self.by_ticket.insert(call.ticket, place);
        self.by_place.insert(place, waiting);
    }

    /// Whether `call` would be started before everything that waits.
    pub fn would_be_first(&self, call: &QueuedCall) -> bool {
        let first = self.by_place.keys().next();
        first.is_none_or(|first| Place::of(call) < *first)
    }

    /// Whether `call` would be started before the least important that waits.
    pub fn outranks_last(&self, call: &QueuedCall) -> bool {
        let last = self.by_place.keys().next_back();
        last.is_some_and(|last| Place::of(call) < *last)
    }

    /// Since when the first call waits, if one that is less important by its class waits as well.
    pub fn important_waits_since(&self) -> Option<TimeMs> {
        let (first, waiting) = self.by_place.first_key_value()?;
        let (last, _) = self.by_place.last_key_value()?;
        (first.class < last.class).then_some(waiting.since)
    }

    pub fn pop_first(&mut self) -> Option<Waiting> {
        let (_, waiting) = self.by_place.pop_first()?;
        self.forget(&waiting);
        Some(waiting)
    }

    pub fn pop_last(&mut self) -> Option<Waiting> {
        let (_, waiting) = self.by_place.pop_last()?;
        self.forget(&waiting);
        Some(waiting)
    }

    /// Takes out a call that has waited as long as it may.
    pub fn pop_given_up(&mut self, now: TimeMs) -> Option<Waiting> {
        let &(at, ticket) = self.by_give_up.first()?;
        if at > now {
            return None;
        }
        self.remove(ticket)
    }

    pub fn remove(&mut self, ticket: u64) -> Option<Waiting> {
        let place = self.by_ticket.get(&ticket)?;
        let waiting = self.by_place.remove(place)?;
        self.forget(&waiting);
        Some(waiting)
    }

    fn forget(&mut self, waiting: &Waiting) {
        self.by_ticket.remove(&waiting.call.ticket);
        let entry = (waiting.gives_up_at(), waiting.call.ticket);
        self.by_give_up.remove(&entry);
    }
}
