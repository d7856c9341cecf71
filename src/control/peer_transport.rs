//! The framing of control calls, shared by client and server.

use serde::Deserialize;
use serde::Serialize;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

use super::ControlMetrics;
use super::CountedStream;

/// The largest message. A kept answer or a ledger fits with room to spare. A larger message ends
/// the connection, so that a faulty peer cannot make this node allocate memory without bound.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A framed and counted connection.
pub type PeerTransport<Item, SinkItem> =
    Transport<CountedStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Frames a connection, with Nagle's algorithm off: a small message must not wait until the
/// previous one is acknowledged.
pub fn peer_transport<Item, SinkItem>(
    stream: TcpStream,
    metrics: &ControlMetrics,
) -> PeerTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("control: cannot set TCP_NODELAY error={error}");
    }
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let framed = Framed::new(CountedStream::new(stream, metrics), codec);
    tarpc::serde_transport::new(framed, Bincode::default())
}
