//! The number of a listener's connections that have carried a request.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Connections with at least one request that have not ended.
///
/// A handler returns an answer that still has to be sent, which takes as long as the caller reads.
/// A listener that stops closes its idle connections at once and each other one after its answer,
/// so from then on this is the number of connections with an answer in progress.
#[derive(Debug, Default)]
pub struct UsedConnections {
    count: AtomicUsize,
}

impl UsedConnections {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Counts a connection until the returned value is dropped.
    pub(super) fn enter(self: &Arc<Self>) -> UsedConnection {
        self.count.fetch_add(1, Ordering::Relaxed);
        UsedConnection(self.clone())
    }
}

/// A connection that is counted.
#[derive(Debug)]
pub(super) struct UsedConnection(Arc<UsedConnections>);

impl Drop for UsedConnection {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::Relaxed);
    }
}
