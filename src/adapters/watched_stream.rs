//! A TCP stream that records whether bytes of a request were accepted for sending.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::adapters::connection_writes::ConnectionWrites;
use crate::adapters::connection_writes::WriteStart;

/// A stream whose writes fail once its [`ConnectionWrites`] are sealed.
#[derive(Debug)]
pub(super) struct WatchedStream {
    stream: TcpStream,
    writes: Arc<ConnectionWrites>,
}

impl WatchedStream {
    pub(super) fn new(stream: TcpStream, writes: Arc<ConnectionWrites>) -> Self {
        Self { stream, writes }
    }

    fn record_write(
        &mut self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
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
        Pin::new(&mut self.stream).poll_read(context, buffer)
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

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;

    use super::*;

    async fn pair() -> (WatchedStream, Arc<ConnectionWrites>, TcpStream) {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.unwrap();
        let address = listener.local_addr().unwrap();
        let stream = TcpStream::connect(address).await.unwrap();
        let (peer, _) = listener.accept().await.unwrap();
        let writes = Arc::new(ConnectionWrites::default());
        (WatchedStream::new(stream, writes.clone()), writes, peer)
    }

    /// Failure: bytes of a request that was given up as unsent reach the peer.
    #[tokio::test]
    async fn a_sealed_stream_writes_nothing() {
        let (mut stream, writes, mut peer) = pair().await;
        let request = writes.start_request().unwrap();
        assert!(writes.seal(request));
        assert!(stream.write_all(b"request").await.is_err());
        drop(stream);
        let mut read = Vec::new();
        peer.read_to_end(&mut read).await.unwrap();
        assert!(read.is_empty());
    }

    /// Failure: a request counts as sent although the peer had reset the connection before, so the
    /// system accepted nothing of it.
    #[tokio::test]
    async fn a_write_that_fails_at_once_leaves_the_request_unsent() {
        let (mut stream, writes, mut peer) = pair().await;
        // Unread bytes make the peer's system reset the connection.
        let earlier = writes.start_request().unwrap();
        stream.write_all(b"earlier").await.unwrap();
        assert!(!writes.seal(earlier));
        assert_eq!(peer.read_u8().await.unwrap(), b'e');
        drop(peer);
        assert!(stream.read_u8().await.is_err());
        let request = writes.start_request().unwrap();
        assert!(stream.write_all(b"request").await.is_err());
        assert!(writes.seal(request));
    }
}
