//! A stream that records whether bytes of a request were accepted for sending, and limits what is
//! read without delivering an answer.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::adapters::ConnectionWrites;
use crate::adapters::FairStream;
use crate::adapters::UndeliveredBytes;
use crate::adapters::WriteStart;

/// A stream whose writes fail once its [`ConnectionWrites`] are sealed, and whose reads fail once its
/// [`UndeliveredBytes`] exceed their limit.
#[derive(Debug)]
pub struct WatchedStream {
    stream: FairStream,
    writes: Arc<ConnectionWrites>,
    undelivered: Arc<UndeliveredBytes>,
}

impl WatchedStream {
    /// Watches a stream that has not been written to.
    pub fn new(
        stream: FairStream,
        writes: Arc<ConnectionWrites>,
        undelivered: Arc<UndeliveredBytes>,
    ) -> Self {
        Self {
            stream,
            writes,
            undelivered,
        }
    }

    fn record_write(
        &mut self,
        write: impl FnOnce(Pin<&mut FairStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let start = self.writes.start_write();
        if start == WriteStart::Refused {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let written = write(Pin::new(&mut self.stream));
        if start == WriteStart::First {
            let has_accepted = matches!(&written, Poll::Ready(Ok(bytes)) if *bytes > 0);
            self.writes.end_first_write(has_accepted);
        }
        written
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.undelivered.add(buffer.filled().len() - before))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.record_write(|stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.record_write(|stream| stream.poll_write_vectored(context, parts))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
