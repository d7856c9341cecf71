//! The memory that all bodies of a process may take together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use crate::errors::SendError;

/// Counts the bytes of bodies that are held, and bounds them in sum.
///
/// Guards against many callers that send large bodies slowly, or read large answers slowly: each
/// stays within the bound for one body, and together they would take the process's memory, which
/// ends it. It holds because every byte is counted before it is kept, until the body is dropped.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: AtomicUsize,
    held_bytes: AtomicUsize,
}

impl BodyBudget {
    /// A budget of which nothing is used.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            max_bytes: AtomicUsize::new(max_bytes),
            held_bytes: AtomicUsize::new(0),
        })
    }

    /// Changes the bound. What is held already stays.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.max_bytes.store(max_bytes, Ordering::Relaxed);
    }

    /// How many bytes are held at present.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    pub(super) fn share(self: &Arc<Self>) -> BodyShare {
        BodyShare {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// What one body takes of the budget, until it is dropped.
#[derive(Debug)]
pub(super) struct BodyShare {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyShare {
    /// Takes so many bytes more.
    ///
    /// # Errors
    /// When the budget has not so many left; the share then stays as it was.
    pub(super) fn grow(&mut self, bytes: usize) -> Result<(), SendError> {
        let max_bytes = self.budget.max_bytes.load(Ordering::Relaxed);
        let before = self.budget.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        if before + bytes <= max_bytes {
            return Ok(());
        }
        self.budget.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.bytes -= bytes;
        Err(SendError::NoMemory { max_bytes })
    }

    /// Ties the share to the body: it is given back when the last reference to the body goes.
    pub(super) fn tie_to(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(HeldBody { body, _share: self })
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let held = &self.budget.held_bytes;
        held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct HeldBody {
    body: Bytes,
    _share: BodyShare,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
