//! What backend servers have said in answers that this node passed on.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::wire::ServerWord;

/// Backend servers whose words are remembered; beyond it the one that was heard of longest ago is forgotten.
const MAX_ENTRIES: usize = 2_048;

#[derive(Clone, Debug)]
struct Entry {
    announcement: ServerWord,
    at: TimeMs,
}

/// The words of backend servers, by the node beside each.
///
/// Guards against a guard that is restarted and has forgotten what its backend server said, while this entry
/// is bound by it for having passed it on. It holds because each call repeats the word to the guard, which
/// takes it over if it stands beside that incarnation. It does not depend on gossip, the store, or the
/// node's being in the view.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementCache {
    entries: FastMap<Name, Entry>,
}

impl AnnouncementCache {
    /// Takes in what came with an answer of the guard on `node`. `has_run` says that the backend server ran
    /// the call; without a word beside it, that one names no rate any more.
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

    /// What the backend server beside a node has said, if anything binds.
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
