//! A streamed body that is checked against its announced length and reports how it ended.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use http_body::Body as HttpBody;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::adapters::Body;
use crate::errors::BodyError;

/// How a streamed body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// All of it was forwarded.
    Whole,
    /// The sender disconnected, or sent another length than announced.
    Broken,
    /// The receiver disconnected.
    Dropped,
}

type OnEnd = Box<dyn FnOnce(BodyEnd) + Send>;

struct WatchedBody {
    inner: Body,
    left_bytes: Option<u64>,
    on_end: Option<OnEnd>,
    stall: Duration,
    /// The stall timer. It runs while the sender is awaited, and not while the receiver is slow.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

/// Wraps a body so that a truncated answer does not look complete to its receiver. A truncated body
/// ends in an error. The HTTP library then closes the connection without the last chunk or before
/// the announced length, which every HTTP client reports as a failure. If no data arrives for
/// `stall_ms`, the sender counts as lost, since its connection may be half-open and the receiver
/// would wait indefinitely.
pub(super) fn watched(
    inner: Body,
    len: Option<u64>,
    stall_ms: u64,
    on_end: impl FnOnce(BodyEnd) + Send + 'static,
) -> Body {
    let watched = WatchedBody {
        inner,
        left_bytes: len,
        on_end: Some(Box::new(on_end)),
        stall: Duration::from_millis(stall_ms),
        stall_timer: None,
    };
    watched.boxed_unsync()
}

impl WatchedBody {
    fn end(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    fn wait(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let stall = self.stall;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(stall)));
        match stall_timer.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => self.broken(io::Error::other(BodyError::Stalled)),
        }
    }

    fn broken(&mut self, error: io::Error) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.end(BodyEnd::Broken);
        Poll::Ready(Some(Err(error)))
    }

    fn take(&mut self, frame: Frame<Bytes>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame_bytes = frame.data_ref().map_or(0, Buf::remaining) as u64;
        if let Some(left_bytes) = self.left_bytes {
            let Some(left_bytes) = left_bytes.checked_sub(frame_bytes) else {
                return self.broken(io::Error::other(BodyError::TooLong));
            };
            self.left_bytes = Some(left_bytes);
            if left_bytes == 0 {
                self.end(BodyEnd::Whole);
            }
        }
        Poll::Ready(Some(Ok(frame)))
    }
}

impl HttpBody for WatchedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Pending => self.wait(context),
            Poll::Ready(Some(Ok(frame))) => {
                self.stall_timer = None;
                self.take(frame)
            }
            Poll::Ready(Some(Err(error))) => self.broken(error),
            Poll::Ready(None) if self.left_bytes.is_some_and(|left| left > 0) => {
                self.broken(io::Error::other(BodyError::CutShort))
            }
            Poll::Ready(None) => {
                self.end(BodyEnd::Whole);
                Poll::Ready(None)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.left_bytes
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.end(BodyEnd::Dropped);
    }
}
