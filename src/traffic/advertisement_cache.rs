//! Caches what backend servers have advertised in answers that this node relayed.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::wire::Advertisement;

/// Maximum number of entries; beyond it the entry that was updated longest ago is evicted.
const MAX_ENTRIES: usize = 2_048;

#[derive(Clone, Debug)]
struct Entry {
    advertisement: Advertisement,
    at: TimeMs,
}

/// Departures and rate limits advertised by backend servers, keyed by the node of each.
///
/// A guard that restarts has lost what its backend server advertised, but an entry that relayed the
/// advertisement to a caller must still respect it. So each call repeats the advertisement to the
/// guard, which applies it if its backend server is that incarnation. This depends neither on
/// gossip, nor on the store, nor on the node being in the view.
#[derive(Clone, Debug, Default)]
pub struct AdvertisementCache {
    entries: FastMap<Name, Entry>,
}

impl AdvertisementCache {
    /// Updates the entry of `node` from an answer of its guard. `has_run` means that the backend
    /// server ran the call: if the answer then has no advertisement, there is no rate limit any
    /// more.
    pub fn update(
        &mut self,
        now: TimeMs,
        node: &Name,
        advertisement: Option<Advertisement>,
        has_run: bool,
    ) {
        match advertisement {
            Some(advertisement) => self.insert(now, node, advertisement),
            None if has_run => self.forget_rate(node),
            None => {}
        }
    }

    /// The departure or rate limit advertised by the backend server of a node, if any.
    pub fn get(&self, node: &Name) -> Option<&Advertisement> {
        self.entries.get(node).map(|entry| &entry.advertisement)
    }

    fn insert(&mut self, now: TimeMs, node: &Name, mut advertisement: Advertisement) {
        let before = self.get(node);
        let is_same = |before: &&Advertisement| before.incarnation == advertisement.incarnation;
        let was_leaving = before.filter(is_same).is_some_and(|before| {
            before.is_leaving && before.started_unix_ms >= advertisement.started_unix_ms
        });
        advertisement.is_leaving |= was_leaving;
        if before.is_none() && self.entries.len() >= MAX_ENTRIES {
            self.evict_oldest();
        }
        self.entries.insert(
            node.clone(),
            Entry {
                advertisement,
                at: now,
            },
        );
    }

    fn forget_rate(&mut self, node: &Name) {
        let Some(entry) = self.entries.get_mut(node) else {
            return;
        };
        entry.advertisement.rate_milli = None;
        if !entry.advertisement.is_leaving {
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
