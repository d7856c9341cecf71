//! What a node's row holds, and where it lies.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::stable_hash;
use crate::store::StoredRow;
use crate::traffic::KnownServer;
use crate::traffic::traffic::LocalServerStatus;

/// How many bytes of the hash stand before a node's name in its key: enough for thousands of nodes to
/// be spread evenly.
const KEY_HASH_BYTES: usize = 4;

/// The key of a node's row: its name behind a hash of it.
///
/// A range of keys is then a sample of nodes of all failure domains, whatever their names are.
pub fn roster_key(node: &str) -> Name {
    let hash = stable_hash(node.bytes()).to_le_bytes();
    let hash: String = hash[..KEY_HASH_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    Name::from(format!("{hash}.{node}"))
}

/// What a node's row holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RosterRow {
    /// Where gossip and control calls reach the node.
    pub control_address: Option<SocketAddr>,
    /// Its failure domain.
    #[serde(default)]
    pub domain: Option<Name>,
    /// The incarnation of its backend server that has said that it leaves, if one has.
    pub leaving: Option<Name>,
    /// When that one started, in Unix milliseconds, if it has said so.
    #[serde(default)]
    pub leaving_started_unix_ms: Option<u64>,
    /// The backend server beside it, as it last reported.
    #[serde(default)]
    pub known: Option<KnownServer>,
}

impl RosterRow {
    /// The row to keep; `before` is what it held when this process started. That is kept until the
    /// backend server is known anew.
    pub(super) fn of(
        control_address: SocketAddr,
        domain: &Name,
        status: &LocalServerStatus,
        before: Option<&Self>,
    ) -> Self {
        let current = Self {
            control_address: Some(control_address),
            domain: Some(domain.clone()),
            leaving: status.leaving.clone(),
            leaving_started_unix_ms: status.leaving_started_unix_ms,
            known: status.known.clone(),
        };
        match before {
            Some(before) if current.leaving.is_none() && current.known.is_none() => Self {
                control_address: current.control_address,
                domain: current.domain,
                ..before.clone()
            },
            _ => current,
        }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub(super) fn decode(row: &StoredRow) -> Option<Self> {
        match serde_json::from_slice(&row.value) {
            Ok(decoded) => Some(decoded),
            Err(error) => {
                log::warn!(
                    "roster: a row cannot be read, key={} error={error}",
                    row.name.key
                );
                None
            }
        }
    }
}
