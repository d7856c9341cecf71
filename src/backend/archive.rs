//! Large bodies, streamed at a rate while the call keeps its slot.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::HeaderValue;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;

use crate::adapters::Body;
use crate::backend::ArchiveSettings;

/// The largest part of the body that is sent at once.
const CHUNK_BYTES: u64 = 64 * 1024;

struct Stream<H> {
    pattern: Bytes,
    sent_bytes: u64,
    size_bytes: u64,
    pause: Duration,
    /// Kept until the last byte is handed over.
    held: Option<H>,
    finish: fn(H),
}

/// An answer whose body repeats `tag` up to the size. `held` is kept while it is sent; `finish`
/// gets it at the end, and it is merely dropped when the caller leaves before.
pub fn archive_answer<H: Send + 'static>(
    archive: &ArchiveSettings,
    tag: &str,
    held: H,
    finish: fn(H),
) -> Response<Body> {
    let rate = archive.rate_bytes_per_s.max(1);
    let stream = Stream {
        pattern: pattern_of(tag),
        sent_bytes: 0,
        size_bytes: archive.size_bytes,
        pause: Duration::from_secs_f64(CHUNK_BYTES as f64 / rate as f64),
        held: Some(held),
        finish,
    };
    let body = StreamBody::new(stream::unfold(stream, next_chunk));
    let mut answer = Response::new(BodyExt::boxed_unsync(body));
    let length = HeaderValue::from(archive.size_bytes);
    answer.headers_mut().insert(CONTENT_LENGTH, length);
    answer
}

/// Whether `body_part`, found at `offset`, belongs to the archive of `tag`.
pub fn is_archive_part(tag: &str, offset: u64, body_part: &[u8]) -> bool {
    let line = line_of(tag);
    let start = (offset % line.len() as u64) as usize;
    let expected = line.iter().cycle().skip(start);
    body_part.iter().eq(expected.take(body_part.len()))
}

async fn next_chunk<H: Send>(
    mut stream: Stream<H>,
) -> Option<(io::Result<Frame<Bytes>>, Stream<H>)> {
    let left_bytes = stream.size_bytes - stream.sent_bytes;
    if left_bytes == 0 {
        stream.end();
        return None;
    }
    if stream.sent_bytes > 0 {
        tokio::time::sleep(stream.pause).await;
    }
    let line_bytes = stream.pattern.len() as u64 - CHUNK_BYTES;
    let start = (stream.sent_bytes % line_bytes) as usize;
    let chunk_bytes = left_bytes.min(CHUNK_BYTES);
    let chunk = stream.pattern.slice(start..start + chunk_bytes as usize);
    stream.sent_bytes += chunk_bytes;
    if stream.sent_bytes == stream.size_bytes {
        stream.end();
    }
    Some((Ok(Frame::data(chunk)), stream))
}

impl<H> Stream<H> {
    fn end(&mut self) {
        if let Some(held) = self.held.take() {
            (self.finish)(held);
        }
    }
}

fn line_of(tag: &str) -> Vec<u8> {
    format!("{tag}\n").into_bytes()
}

/// The line repeated over one line and one chunk, so that every chunk is a slice of it.
fn pattern_of(tag: &str) -> Bytes {
    let line = line_of(tag);
    let length = line.len() + CHUNK_BYTES as usize;
    line.iter().copied().cycle().take(length).collect()
}
