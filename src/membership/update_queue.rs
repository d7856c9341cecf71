//! The queue of updates to send.

use super::Update;
use super::encoded_bytes;
use crate::core::FastMap;
use crate::core::Name;

/// Suspicions are sent fewer times than other updates, by this divisor: the suspected member is
/// informed directly, and its refutation or death follows soon.
const SUSPICION_SENDS_DIVISOR: u32 = 3;

/// The subject of an update. A newer update replaces an older one of the same subject, so the queue
/// holds at most one entry for each member, slot map and route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Subject {
    Member(Name),
    SlotMap(Name),
    RouteUse(Name),
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    bytes: usize,
    sends: u32,
    /// Whether the update has to be pushed at once, and not only piggybacked.
    urgent: bool,
}

impl QueuedUpdate {
    /// Whether the update is exempt from the byte budget. The use of a route is short, rare and
    /// needed at once: when all nodes have just started, updates about members take the whole
    /// budget, and nodes need the use of routes to refuse requests that cannot complete.
    fn is_budget_exempt(&self) -> bool {
        matches!(self.update, Update::RouteUse { .. })
    }
}

/// Updates that this node still sends, each a bounded number of times.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    queued: FastMap<Subject, QueuedUpdate>,
    urgent: usize,
}

impl UpdateQueue {
    /// Adds an update. It replaces an older one of the same subject.
    pub fn push(&mut self, update: Update, urgent: bool) {
        let bytes = encoded_bytes(&update);
        let queued = QueuedUpdate {
            bytes,
            sends: 0,
            urgent,
            update,
        };
        let replaced = self.queued.insert(subject(&queued.update), queued);
        self.urgent += usize::from(urgent);
        self.urgent -= usize::from(replaced.is_some_and(|old| old.urgent));
    }

    /// Whether an urgent update is queued.
    pub fn has_urgent(&self) -> bool {
        self.urgent > 0
    }

    /// Whether an urgent update that is exempt from the byte budget is queued.
    pub fn has_budget_exempt(&self) -> bool {
        let mut queued = self.queued.values();
        queued.any(|queued| queued.urgent && queued.is_budget_exempt())
    }

    /// Takes the updates that are exempt from the byte budget, as far as they fit.
    pub fn take_budget_exempt(&mut self, room_bytes: usize, max_sends: u32) -> Vec<Update> {
        self.select(room_bytes, max_sends, QueuedUpdate::is_budget_exempt, 1)
    }

    /// Takes the updates that were sent least often and fit into `room_bytes`. Each is dropped
    /// after it was taken `max_sends` times.
    pub fn take(&mut self, room_bytes: usize, max_sends: u32) -> Vec<Update> {
        self.select(
            room_bytes,
            max_sends,
            |queued| !queued.is_budget_exempt(),
            1,
        )
    }

    /// Takes the urgent updates that fit. They are sent to `copies` members at once and are no
    /// longer urgent.
    pub fn take_urgent(&mut self, room_bytes: usize, max_sends: u32, copies: u32) -> Vec<Update> {
        self.select(room_bytes, max_sends, |queued| queued.urgent, copies)
    }

    fn select(
        &mut self,
        room_bytes: usize,
        max_sends: u32,
        wanted: impl Fn(&QueuedUpdate) -> bool,
        copies: u32,
    ) -> Vec<Update> {
        let mut order: Vec<(u32, usize, Subject)> = self
            .queued
            .iter()
            .filter(|(_, queued)| wanted(queued))
            .map(|(subject, queued)| (queued.sends, queued.bytes, subject.clone()))
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
        let queued = self.queued.get_mut(&subject)?;
        if queued.urgent {
            queued.urgent = false;
            self.urgent -= 1;
        }
        queued.sends += copies;
        let is_suspicion = matches!(queued.update, Update::Suspect { .. });
        let max_sends = match is_suspicion {
            true => max_sends.div_ceil(SUSPICION_SENDS_DIVISOR),
            false => max_sends,
        };
        if queued.sends < max_sends {
            return Some(queued.update.clone());
        }
        self.queued.remove(&subject).map(|queued| queued.update)
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
