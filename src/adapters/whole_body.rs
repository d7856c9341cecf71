//! Reading a body to its end.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::adapters::BodyBudget;
use crate::errors::SendError;

/// How much is set aside at first for a body that comes in pieces. Announced lengths are not
/// believed further than this: a few callers that announce much and send little would take the
/// memory of the process.
const FIRST_BYTES: usize = 64 * 1024;

/// Reads a body to its end. What it takes of `budget` is given back when the body is dropped.
///
/// # Errors
/// When it is cut short, longer than `max_bytes`, or the budget has no room for it.
pub async fn read_whole(
    mut body: Incoming,
    max_bytes: usize,
    budget: &Arc<BodyBudget>,
) -> Result<Bytes, SendError> {
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > max_bytes as u64 {
        return Err(SendError::TooLong { max_bytes });
    }
    let mut share = budget.share();
    let mut pieces = Pieces::new(announced_bytes as usize);
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        if pieces.bytes() + piece.len() > max_bytes {
            return Err(SendError::TooLong { max_bytes });
        }
        share.grow(piece.len())?;
        pieces.add(piece);
    }
    Ok(share.tie_to(pieces.whole()))
}

/// Pieces put together. Most bodies are of one piece, which is not copied.
struct Pieces {
    announced_bytes: usize,
    first: Bytes,
    whole: BytesMut,
}

impl Pieces {
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

    fn add(&mut self, piece: Bytes) {
        if self.bytes() == 0 {
            self.first = piece;
            return;
        }
        let first = std::mem::take(&mut self.first);
        self.make_room(first.len() + piece.len());
        self.whole.extend_from_slice(&first);
        self.whole.extend_from_slice(&piece);
    }

    /// Grows by doubling, but not past the announced length.
    fn make_room(&mut self, more_bytes: usize) {
        let needed = self.whole.len() + more_bytes;
        if needed <= self.whole.capacity() {
            return;
        }
        let doubled = (2 * self.whole.capacity()).max(FIRST_BYTES);
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
