//! How much a connection has read without delivering any part of an answer.

use std::io;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Shared by the I/O of a connection, which counts bytes, and the reader of its answers, which
/// resets the count with each head and each part of a body.
///
/// Interim answers, chunk sizes and other framing can come without end. They belong to no body, so
/// no limit on bodies or heads applies to them, and parsing them uses a whole core until the
/// request's deadline.
#[derive(Debug)]
pub struct UndeliveredBytes {
    bytes: AtomicUsize,
    max_bytes: usize,
}

impl UndeliveredBytes {
    /// Nothing was read. `max_bytes` has to include what the connection buffers.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            bytes: AtomicUsize::new(0),
            max_bytes,
        }
    }

    /// Starts again from zero: a request is sent, or a part of its answer was delivered.
    pub fn reset(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// When too many came without a part of an answer.
    pub fn add(&self, bytes: usize) -> io::Result<()> {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes <= self.max_bytes {
            return Ok(());
        }
        Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("{} bytes belong to no head or body", before + bytes),
        ))
    }
}
