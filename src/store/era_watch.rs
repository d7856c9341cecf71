//! The newest era of the store that anybody has seen.

use tokio::sync::watch;

/// Follows the era of the store, from its own answers and by others' word. It never goes back.
#[derive(Clone, Debug)]
pub struct EraWatch {
    newest: watch::Sender<Option<u64>>,
}

impl EraWatch {
    /// No era was heard of.
    pub fn new() -> Self {
        Self {
            newest: watch::Sender::new(None),
        }
    }

    /// The newest era heard of, if any was.
    pub fn newest(&self) -> Option<u64> {
        *self.newest.borrow()
    }

    /// Takes in an era. Answers whether it is the newest, so that an answer of it counts.
    pub fn observe(&self, era: u64) -> bool {
        let rises = |newest: &mut Option<u64>| {
            let rises = Some(era) > *newest;
            *newest = Some(era).max(*newest);
            rises
        };
        if self.newest.send_if_modified(rises) {
            log::info!("store: a new era, era={era}");
        }
        self.newest() == Some(era)
    }

    /// Tells of the first era and of each later one.
    pub fn subscribe(&self) -> watch::Receiver<Option<u64>> {
        self.newest.subscribe()
    }
}

impl Default for EraWatch {
    fn default() -> Self {
        Self::new()
    }
}
