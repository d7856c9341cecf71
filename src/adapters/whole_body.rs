//! Reads a complete message body.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::adapters::BodyBudget;
use crate::errors::SendError;

/// Initial buffer size for a body of several chunks, in bytes. An announced length is not trusted
/// beyond this. Otherwise a few callers that announce much and send little could exhaust the memory
/// of the process.
const INITIAL_CAPACITY_BYTES: usize = 64 * 1024;

/// Reads a complete body. Its part of `budget` is released when the body is dropped.
///
/// # Errors
/// When it is cut short, longer than `max_bytes`, or the budget has no room for it.
pub async fn read_whole(
    body: Incoming,
    max_bytes: usize,
    budget: &Arc<BodyBudget>,
) -> Result<Bytes, SendError> {
    read_whole_with(body, max_bytes, budget, || {}).await
}

/// Like [`read_whole`]. `on_frame` is called after each part of the body.
///
/// # Errors
/// As [`read_whole`].
pub(super) async fn read_whole_with(
    mut body: Incoming,
    max_bytes: usize,
    budget: &Arc<BodyBudget>,
    on_frame: impl Fn(),
) -> Result<Bytes, SendError> {
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > max_bytes as u64 {
        return Err(SendError::TooLong { max_bytes });
    }
    let mut reservation = budget.reservation();
    let mut chunks = BodyChunks::new(announced_bytes as usize);
    while let Some(frame) = body.frame().await {
        on_frame();
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        if chunks.bytes() + chunk.len() > max_bytes {
            return Err(SendError::TooLong { max_bytes });
        }
        reservation.grow(chunk.len())?;
        chunks.add(chunk);
    }
    Ok(reservation.attach_to(chunks.whole()))
}

/// Assembles the chunks of a body. Most bodies have a single chunk, which is not copied.
struct BodyChunks {
    announced_bytes: usize,
    first: Bytes,
    whole: BytesMut,
}

impl BodyChunks {
    fn new(announced_bytes: usize) -> Self {
        Self {
            announced_bytes,
            first: Bytes::new(),
            whole: BytesMut::new(),
        }
    }

    fn bytes(&self) -> usize {
        self.first.len() + self.whole.len()
    }

    fn add(&mut self, chunk: Bytes) {
        if self.bytes() == 0 {
            self.first = chunk;
            return;
        }
        let first = std::mem::take(&mut self.first);
        self.make_room(first.len() + chunk.len());
        self.whole.extend_from_slice(&first);
        self.whole.extend_from_slice(&chunk);
    }

    /// Grows the buffer by doubling. The new capacity is at most the announced length, unless more
    /// is needed.
    fn make_room(&mut self, more_bytes: usize) {
        let needed = self.whole.len() + more_bytes;
        if needed <= self.whole.capacity() {
            return;
        }
        let doubled = (2 * self.whole.capacity()).max(INITIAL_CAPACITY_BYTES);
        let wanted = doubled.min(self.announced_bytes).max(needed);
        self.whole.reserve(wanted - self.whole.len());
    }

    fn whole(self) -> Bytes {
        if self.whole.is_empty() {
            return self.first;
        }
        self.whole.freeze()
    }
}
