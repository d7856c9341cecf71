//! The newest era of the store that any node has reported.

use tokio::sync::watch;

/// Tracks the era of the store, from the store's answers and from reports of other nodes.
/// The era never decreases.
#[derive(Clone, Debug)]
pub struct EraWatch {
    newest: watch::Sender<Option<u64>>,
}

impl EraWatch {
    /// A watch that has seen no era yet.
    pub fn new() -> Self {
        Self {
            newest: watch::Sender::new(None),
        }
    }

    /// The newest era seen, if any.
    pub fn newest(&self) -> Option<u64> {
        *self.newest.borrow()
    }

    /// Records an era. Returns whether it is the newest, that is, whether an answer of this era is
    /// valid.
    pub fn observe(&self, era: u64) -> bool {
        let raise = |newest: &mut Option<u64>| {
            let is_newer = Some(era) > *newest;
            *newest = Some(era).max(*newest);
            is_newer
        };
        if self.newest.send_if_modified(raise) {
            log::info!("store: a new era, era={era}");
        }
        self.newest() == Some(era)
    }

    /// A receiver that is notified of the first era and of each newer one.
    pub fn subscribe(&self) -> watch::Receiver<Option<u64>> {
        self.newest.subscribe()
    }
}

impl Default for EraWatch {
    fn default() -> Self {
        Self::new()
    }
}
