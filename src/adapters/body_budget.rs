//! The limit on the memory used by all message bodies of a process together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use crate::errors::SendError;

/// The largest body, as a multiple of what is left of the budget. A single body can use four fifths
/// of the budget.
const MAX_MULTIPLE_OF_LEFT: usize = 4;

/// Counts the bytes of all bodies in memory and limits their sum.
///
/// Many callers that send large bodies slowly, or read large answers slowly, can each stay within
/// the limit for one body and together exhaust the memory of the process, which then is killed. To
/// prevent this, every byte is counted before it is kept, until the body is dropped.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: AtomicUsize,
    held_bytes: AtomicUsize,
}

impl BodyBudget {
    /// An unused budget.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            max_bytes: AtomicUsize::new(max_bytes),
            held_bytes: AtomicUsize::new(0),
        })
    }

    /// Changes the limit. Bodies already in memory are kept.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.max_bytes.store(max_bytes, Ordering::Relaxed);
    }

    /// How many bytes of bodies are in memory.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    pub(super) fn reservation(self: &Arc<Self>) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// The part of the budget that one body uses. Dropping it releases the bytes.
#[derive(Debug)]
pub(super) struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves `bytes` more, as long as the body is at most [`MAX_MULTIPLE_OF_LEFT`] times what is
    /// left.
    ///
    /// If one body could use the whole budget, an answer without end would do so, and sound bodies
    /// would be dropped meanwhile. With this threshold `n` endless bodies leave `1 / (4 n + 1)` of
    /// the budget.
    ///
    /// # Errors
    /// When the body would be larger. The reservation is then unchanged.
    pub(super) fn grow(&mut self, bytes: usize) -> Result<(), SendError> {
        let max_bytes = self.budget.max_bytes.load(Ordering::Relaxed);
        let before = self.budget.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let left = max_bytes.checked_sub(before + bytes);
        if left.is_some_and(|left| self.bytes + bytes <= MAX_MULTIPLE_OF_LEFT * left) {
            self.bytes += bytes;
            return Ok(());
        }
        self.budget.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        Err(SendError::NoMemory { max_bytes })
    }

    /// Attaches the reservation to the body. It is released with the last reference to the body.
    pub(super) fn attach_to(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(ReservedBody {
            body,
            _reservation: self,
        })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let held = &self.budget.held_bytes;
        held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct ReservedBody {
    body: Bytes,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
