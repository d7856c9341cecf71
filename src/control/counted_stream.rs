//! A TCP stream that counts its bytes.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use prometheus::IntCounter;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use super::ControlMetrics;
use super::Direction;

/// A connection for control calls. Its bytes count towards the budget of control traffic.
#[derive(Debug)]
pub struct CountedStream {
    inner: TcpStream,
    sent: IntCounter,
    received: IntCounter,
}

impl CountedStream {
    /// Wraps `inner`, whose bytes are counted in `metrics`.
    pub fn new(inner: TcpStream, metrics: &ControlMetrics) -> Self {
        Self {
            inner,
            sent: metrics.call_bytes(Direction::Sent),
            received: metrics.call_bytes(Direction::Received),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        self.received
            .inc_by((buffer.filled().len() - before) as u64);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(context, bytes))?;
        self.sent.inc_by(written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
