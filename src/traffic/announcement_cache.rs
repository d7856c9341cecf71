//! Caches what backend servers have announced in answers that this node relayed.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::wire::ServerWord;

/// Maximum number of entries; beyond it the entry that was updated longest ago is evicted.
const MAX_ENTRIES: usize = 2_048;

#[derive(Clone, Debug)]
struct Entry {
    announcement: ServerWord,
    at: TimeMs,
}

/// Departures and rate limits announced by backend servers, keyed by the node of each.
///
/// A guard that restarts has lost what its backend server announced, but an entry that relayed the
/// announcement to a caller must still respect it. So each call repeats the announcement to the
/// guard, which applies it if its backend server is that incarnation. This depends neither on
/// gossip, nor on the store, nor on the node being in the view.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementCache {
    entries: FastMap<Name, Entry>,
}

impl AnnouncementCache {
    /// Updates the entry of `node` from an answer of its guard. `has_run` means that the backend
    /// server ran the call: if the answer then has no announcement, there is no rate limit any
    /// more.
    pub fn update(
        &mut self,
        now: TimeMs,
        node: &Name,
        announcement: Option<ServerWord>,
        has_run: bool,
    ) {
        match announcement {
            Some(announcement) => self.insert(now, node, announcement),
            None if has_run => self.forget_rate(node),
            None => {}
        }
    }

    /// The departure or rate limit announced by the backend server of a node, if any.
    pub fn get(&self, node: &Name) -> Option<&ServerWord> {
        self.entries.get(node).map(|entry| &entry.announcement)
    }

    fn insert(&mut self, now: TimeMs, node: &Name, mut announcement: ServerWord) {
        let before = self.get(node);
        let is_same = |before: &&ServerWord| before.incarnation == announcement.incarnation;
        let was_leaving = before.filter(is_same).is_some_and(|before| {
            before.is_leaving && before.started_unix_ms >= announcement.started_unix_ms
        });
        announcement.is_leaving |= was_leaving;
        if before.is_none() && self.entries.len() >= MAX_ENTRIES {
            self.evict_oldest();
        }
        self.entries.insert(
            node.clone(),
            Entry {
                announcement,
                at: now,
            },
        );
    }

    fn forget_rate(&mut self, node: &Name) {
        let Some(entry) = self.entries.get_mut(node) else {
            return;
        };
        entry.announcement.rate_milli = None;
        if !entry.announcement.is_leaving {
            self.entries.remove(node);
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.at);
        if let Some(node) = oldest.map(|(node, _)| node.clone()) {
            self.entries.remove(&node);
        }
    }
}
