//! A TCP stream that lets other tasks run while its peer sends without a pause.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;

use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// After how many bytes other tasks run. The last read of a turn can exceed it by the reader's buffer.
const MAX_TURN_BYTES: usize = 64 * 1024;

/// A stream whose reader yields to the scheduler after [`MAX_TURN_BYTES`].
///
/// A parser that discards what it reads, such as endless interim answers or digits of a chunk size,
/// reads again as long as the socket has bytes. The runtime's own limit counts operations, and 128
/// reads of a full buffer take a single-threaded process seconds in which no other request, time-out
/// or control message is handled.
#[derive(Debug)]
pub struct FairStream {
    stream: TcpStream,
    /// Bytes read since the task last yielded or waited.
    turn_bytes: usize,
}

impl FairStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            turn_bytes: 0,
        }
    }
}

impl Connection for FairStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            // The first poll only arranges that the task runs again after the runtime has handled
            // I/O and timers.
            if pin!(yield_now()).poll(context).is_pending() {
                return Poll::Pending;
            }
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match polled {
            Poll::Ready(_) => self.turn_bytes += buffer.filled().len() - before,
            Poll::Pending => self.turn_bytes = 0,
        }
        polled
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
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
