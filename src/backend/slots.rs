//! The slots of a backend server and the calls that wait for one, first come first served.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Counts and hands out slots.
pub struct Slots {
    total: u32,
    free: Arc<Semaphore>,
    queued: Arc<AtomicU32>,
}

/// A slot, free again when dropped.
pub struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// Counts a waiting call until it is dropped, also when its caller leaves the queue.
struct Waiting {
    queued: Arc<AtomicU32>,
}

impl Slots {
    /// `total` free slots.
    pub fn new(total: u32) -> Self {
        Self {
            total,
            free: Arc::new(Semaphore::new(total as usize)),
            queued: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Waits for a slot.
    pub async fn take(&self) -> Slot {
        let waiting = Waiting::new(&self.queued);
        let permit = self.free.clone().acquire_owned().await;
        drop(waiting);
        Slot {
            _permit: permit.expect("the semaphore is never closed"),
        }
    }

    /// Slots taken.
    pub fn in_use(&self) -> u32 {
        self.total - self.free.available_permits() as u32
    }

    /// Calls that wait.
    pub fn queued(&self) -> u32 {
        self.queued.load(Ordering::Relaxed)
    }
}

impl Waiting {
    fn new(queued: &Arc<AtomicU32>) -> Self {
        queued.fetch_add(1, Ordering::Relaxed);
        Self {
            queued: queued.clone(),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.queued.fetch_sub(1, Ordering::Relaxed);
    }
}
