//! Request and answer bodies. Small ones are buffered whole, so that they can be checked and sent
//! again. Large ones are streamed with the back pressure of their connections.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use futures::stream;
use http_body::Body as _;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
use http_body_util::StreamBody;

use crate::adapters::Body;
use crate::adapters::full_body;

/// A body that passes through the node.
pub(super) enum NodeBody {
    /// Buffered whole. The HTTP library has checked the announced length.
    Held(Bytes),
    /// Larger than the buffer limit. It ends with an error if it is truncated.
    Streamed { body: Body, len: Option<u64> },
}

impl NodeBody {
    /// The length, if it is known.
    pub(super) fn len(&self) -> Option<u64> {
        match self {
            Self::Held(bytes) => Some(bytes.len() as u64),
            Self::Streamed { len, .. } => *len,
        }
    }

    /// The bytes, if the body is buffered.
    pub(super) fn held(&self) -> Option<&Bytes> {
        match self {
            Self::Held(bytes) => Some(bytes),
            Self::Streamed { .. } => None,
        }
    }

    /// Returns the body to send. A streamed body can be taken only once, and is replaced by an
    /// empty one.
    pub(super) fn send_copy(&mut self) -> Body {
        match std::mem::replace(self, Self::Held(Bytes::new())) {
            Self::Held(bytes) => {
                *self = Self::Held(bytes.clone());
                full_body(bytes)
            }
            Self::Streamed { body, .. } => body,
        }
    }
}

/// Reads a body until its end, or until it is larger than `max_held_bytes`.
///
/// # Errors
/// When the sender disconnected or sent less than announced.
pub(super) async fn read_body(mut body: Body, max_held_bytes: usize) -> io::Result<NodeBody> {
    let len = body.size_hint().exact();
    if len == Some(0) {
        return Ok(NodeBody::Held(Bytes::new()));
    }
    if len.is_some_and(|len| len > max_held_bytes as u64) {
        return Ok(NodeBody::Streamed { body, len });
    }
    let mut parts: Vec<Bytes> = Vec::new();
    let mut held_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        held_bytes += data.len();
        parts.push(data);
        if held_bytes > max_held_bytes {
            let body = continued(parts, body);
            return Ok(NodeBody::Streamed { body, len });
        }
    }
    Ok(NodeBody::Held(joined(parts, held_bytes)))
}

fn joined(mut parts: Vec<Bytes>, held_bytes: usize) -> Bytes {
    if parts.len() == 1 {
        return parts.remove(0);
    }
    let mut whole = BytesMut::with_capacity(held_bytes);
    for part in parts {
        whole.extend_from_slice(&part);
    }
    whole.freeze()
}

/// The parts read so far, followed by the rest.
fn continued(parts: Vec<Bytes>, rest: Body) -> Body {
    let head = stream::iter(parts.into_iter().map(|part| Ok(Frame::data(part))));
    StreamBody::new(head.chain(BodyStream::new(rest))).boxed_unsync()
}
