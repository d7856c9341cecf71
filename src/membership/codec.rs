//! The encoding of datagrams: one version byte, then header, body and updates in postcard.

use postcard::ser_flavors::Size;
use serde::Serialize;

use super::Body;
use super::Datagram;
use super::Header;
use super::Update;
use crate::errors::GossipError;

/// The version of the datagram format. Datagrams of another version are counted and dropped.
pub const GOSSIP_VERSION: u8 = 5;

/// Encodes a datagram. The updates run to the end of the datagram, so they need no count.
pub fn encode_datagram(datagram: &Datagram) -> Vec<u8> {
    let bytes = vec![GOSSIP_VERSION];
    let bytes = append(&datagram.header, bytes);
    let bytes = append(&datagram.body, bytes);
    datagram
        .updates
        .iter()
        .fold(bytes, |bytes, update| append(update, bytes))
}

/// Decodes a datagram.
///
/// # Errors
/// If the datagram is empty, of another version or malformed. No part of it may be used then.
pub fn decode_datagram(bytes: &[u8]) -> Result<Datagram, GossipError> {
    let (&theirs, rest) = bytes.split_first().ok_or(GossipError::Empty)?;
    if theirs != GOSSIP_VERSION {
        return Err(GossipError::Version {
            theirs,
            ours: GOSSIP_VERSION,
        });
    }
    let (header, rest) = postcard::take_from_bytes::<Header>(rest)?;
    let (body, mut rest) = postcard::take_from_bytes::<Body>(rest)?;
    let mut updates = Vec::new();
    while !rest.is_empty() {
        let (update, after) = postcard::take_from_bytes::<Update>(rest)?;
        updates.push(update);
        rest = after;
    }
    Ok(Datagram {
        header,
        body,
        updates,
    })
}

/// The encoded size of a part of a datagram.
pub fn encoded_bytes<T: Serialize>(part: &T) -> usize {
    postcard::serialize_with_flavor(part, Size::default()).expect("plain structs always encode")
}

fn append<T: Serialize>(part: &T, bytes: Vec<u8>) -> Vec<u8> {
    postcard::to_extend(part, bytes).expect("plain structs always encode")
}
