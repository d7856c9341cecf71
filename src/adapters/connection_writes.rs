//! Whether the operating system has accepted bytes of the request that a connection carries.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The lowest bits of the state hold the phase, the others the number of the request.
const PHASE_BITS: u32 = 2;
const PHASE_MASK: u64 = (1 << PHASE_BITS) - 1;

/// No byte has been accepted.
const UNWRITTEN: u64 = 0;
/// The first write is in progress, or failed in a way that leaves its result unknown.
const WRITING: u64 = 1;
/// At least one byte has been accepted.
const WRITTEN: u64 = 2;
/// No byte has been accepted, and none will be.
const SEALED: u64 = 3;

/// The state of one connection's writes, shared by its I/O and by whoever sends requests on it.
///
/// Requests are numbered, so that a late question about one request is never answered with the
/// state of the next one on the same connection.
#[derive(Debug, Default)]
pub struct ConnectionWrites {
    state: AtomicU64,
}

/// What a write may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStart {
    /// No byte of the request has been accepted yet. The result must be recorded.
    First,
    /// Bytes of the request were accepted earlier.
    Later,
    /// The connection is sealed, so nothing may be written.
    Refused,
}

impl ConnectionWrites {
    /// Starts the next request and returns its number; `None` if the connection is sealed.
    pub fn start_request(&self) -> Option<u64> {
        let next = |state: u64| {
            let number = (state >> PHASE_BITS) + 1;
            (state & PHASE_MASK != SEALED).then_some(number << PHASE_BITS)
        };
        let (release, acquire) = (Ordering::AcqRel, Ordering::Acquire);
        let before = self.state.fetch_update(release, acquire, next).ok()?;
        Some((before >> PHASE_BITS) + 1)
    }

    /// Prevents all later writes if no byte of the request has been accepted. Returns whether that
    /// is so.
    pub fn seal(&self, number: u64) -> bool {
        let sealed = number << PHASE_BITS | SEALED;
        match self.replace(number << PHASE_BITS | UNWRITTEN, sealed) {
            Ok(_) => true,
            Err(state) => state == sealed,
        }
    }

    /// Called before each write.
    pub fn start_write(&self) -> WriteStart {
        let mut state = self.state.load(Ordering::Acquire);
        loop {
            match state & PHASE_MASK {
                SEALED => return WriteStart::Refused,
                WRITTEN => return WriteStart::Later,
                WRITING => return WriteStart::First,
                _ => match self.replace(state, state | WRITING) {
                    Ok(_) => return WriteStart::First,
                    Err(changed) => state = changed,
                },
            }
        }
    }

    /// Records the result of a [`WriteStart::First`].
    pub fn end_first_write(&self, has_accepted: bool) {
        let state = self.state.load(Ordering::Acquire);
        if state & PHASE_MASK != WRITING {
            return;
        }
        let phase = if has_accepted { WRITTEN } else { UNWRITTEN };
        // Fails only if the next request has started, whose bytes this write did not contain.
        let _ = self.replace(state, state & !PHASE_MASK | phase);
    }

    fn replace(&self, from: u64, to: u64) -> Result<u64, u64> {
        let (release, acquire) = (Ordering::AcqRel, Ordering::Acquire);
        self.state.compare_exchange(from, to, release, acquire)
    }
}
