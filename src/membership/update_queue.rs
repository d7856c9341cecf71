//! News waiting to be spread.

use super::Update;
use super::encoded_bytes;
use crate::core::FastMap;
use crate::core::Name;

/// Suspicions are sent this much less often than other news: the suspect is told directly, and
/// soon either its refutation or its death goes round.
const SUSPICION_SHARE: u32 = 3;

/// What an update is about. A newer update about the same replaces the older one, so the queue
/// holds at most one entry for each member, each slot map and each route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Subject {
    Member(Name),
    SlotMap(Name),
    RouteUse(Name),
}

#[derive(Clone, Debug)]
struct Waiting {
    update: Update,
    bytes: usize,
    sends: u32,
    /// To be pushed at once, not only piggybacked.
    urgent: bool,
}

impl Waiting {
    /// It is short, rare, and needed at once: just when everything is new, and news of members takes all
    /// that news may take, nodes have to know who uses which route.
    fn is_pressing(&self) -> bool {
        matches!(self.update, Update::RouteUse { .. })
    }
}

/// Updates that this node still passes on, each a bounded number of times.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    waiting: FastMap<Subject, Waiting>,
    urgent: usize,
}

impl UpdateQueue {
    /// Adds an update, in place of an older one about the same.
    pub fn push(&mut self, update: Update, urgent: bool) {
        let bytes = encoded_bytes(&update);
        let waiting = Waiting {
            bytes,
            sends: 0,
            urgent,
            update,
        };
        let replaced = self.waiting.insert(subject(&waiting.update), waiting);
        self.urgent += usize::from(urgent);
        self.urgent -= usize::from(replaced.is_some_and(|old| old.urgent));
    }

    /// Whether something waits to be pushed at once.
    pub fn has_urgent(&self) -> bool {
        self.urgent > 0
    }

    /// Whether something waits to be pushed at once whatever the budget says.
    pub fn has_pressing(&self) -> bool {
        let mut waiting = self.waiting.values();
        waiting.any(|waiting| waiting.urgent && waiting.is_pressing())
    }

    /// Takes what rides on every datagram whatever the budget says, as far as it fits.
    pub fn take_pressing(&mut self, room_bytes: usize, max_sends: u32) -> Vec<Update> {
        self.select(room_bytes, max_sends, Waiting::is_pressing, 1)
    }

    /// Takes the least sent updates that fit into `room_bytes`; each is dropped after it was
    /// taken `max_sends` times.
    pub fn take(&mut self, room_bytes: usize, max_sends: u32) -> Vec<Update> {
        self.select(room_bytes, max_sends, |waiting| !waiting.is_pressing(), 1)
    }

    /// Takes the urgent updates that fit; they go to `copies` members at once and are urgent no
    /// longer.
    pub fn take_urgent(&mut self, room_bytes: usize, max_sends: u32, copies: u32) -> Vec<Update> {
        self.select(room_bytes, max_sends, |waiting| waiting.urgent, copies)
    }

    fn select(
        &mut self,
        room_bytes: usize,
        max_sends: u32,
        wanted: impl Fn(&Waiting) -> bool,
        copies: u32,
    ) -> Vec<Update> {
        let mut order: Vec<(u32, usize, Subject)> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| wanted(waiting))
            .map(|(subject, waiting)| (waiting.sends, waiting.bytes, subject.clone()))
            .collect();
        order.sort_unstable_by_key(|(sends, bytes, _)| (*sends, *bytes));
        let mut taken = Vec::new();
        let mut left_bytes = room_bytes;
        for (_, bytes, subject) in order {
            if bytes > left_bytes {
                break;
            }
            left_bytes -= bytes;
            taken.extend(self.count_sends(subject, max_sends, copies));
        }
        taken
    }

    fn count_sends(&mut self, subject: Subject, max_sends: u32, copies: u32) -> Option<Update> {
        let waiting = self.waiting.get_mut(&subject)?;
        if waiting.urgent {
            waiting.urgent = false;
            self.urgent -= 1;
        }
        waiting.sends += copies;
        let is_suspicion = matches!(waiting.update, Update::Suspect { .. });
        let max_sends = match is_suspicion {
            true => max_sends.div_ceil(SUSPICION_SHARE),
            false => max_sends,
        };
        if waiting.sends < max_sends {
            return Some(waiting.update.clone());
        }
        self.waiting.remove(&subject).map(|waiting| waiting.update)
    }
}

fn subject(update: &Update) -> Subject {
    match update {
        Update::Own(target) => Subject::Member(target.node.clone()),
        Update::Suspect { node, .. } => Subject::Member(node.clone()),
        Update::Dead { node, .. } => Subject::Member(node.clone()),
        Update::SlotMap { service, .. } => Subject::SlotMap(service.clone()),
        Update::RouteUse { route, .. } => Subject::RouteUse(route.clone()),
    }
}
