//! What backend servers have said in answers that this node passed on.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::wire::Advertisement;

/// Backend servers whose words are remembered; beyond it the one that was heard of longest ago is forgotten.
const MOST_TOLD: usize = 2_048;

#[derive(Clone, Debug)]
struct Told {
    word: Advertisement,
    at: TimeMs,
}

/// The words of backend servers, by the node beside each.
///
/// Guards against a guard that is restarted and has forgotten what its backend server said, while this entry
/// is bound by it for having passed it on. It holds because each call repeats the word to the guard, which
/// takes it over if it stands beside that incarnation. It does not depend on gossip, the store, or the
/// node's being in the view.
#[derive(Clone, Debug, Default)]
pub struct ToldWords {
    told: FastMap<Name, Told>,
}

impl ToldWords {
    /// Takes in what came with an answer of the guard on `node`. `has_run` says that the backend server ran
    /// the call; without a word beside it, that one names no rate any more.
    pub fn note(&mut self, now: TimeMs, node: &Name, word: Option<Advertisement>, has_run: bool) {
        match word {
            Some(word) => self.hold(now, node, word),
            None if has_run => self.forget_rate(node),
            None => {}
        }
    }

    /// What the backend server beside a node has said, if anything binds.
    pub fn of(&self, node: &Name) -> Option<&Advertisement> {
        self.told.get(node).map(|told| &told.word)
    }

    fn hold(&mut self, now: TimeMs, node: &Name, mut word: Advertisement) {
        let before = self.of(node);
        let is_same = |before: &&Advertisement| before.incarnation == word.incarnation;
        let was_leaving = before.filter(is_same).is_some_and(|before| {
            before.is_leaving && before.started_unix_ms >= word.started_unix_ms
        });
        word.is_leaving |= was_leaving;
        if before.is_none() && self.told.len() >= MOST_TOLD {
            self.forget_oldest();
        }
        self.told.insert(node.clone(), Told { word, at: now });
    }

    fn forget_rate(&mut self, node: &Name) {
        let Some(told) = self.told.get_mut(node) else {
            return;
        };
        told.word.rate_milli = None;
        if !told.word.is_leaving {
            self.told.remove(node);
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.told.iter().min_by_key(|(_, told)| told.at);
        if let Some(node) = oldest.map(|(node, _)| node.clone()) {
            self.told.remove(&node);
        }
    }
}
