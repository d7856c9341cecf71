//! The content and the key of a node's row.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::stable_hash;
use crate::store::StoredRow;
use crate::traffic::Departure;
use crate::traffic::KnownServer;
use crate::traffic::RetryHandover;
use crate::traffic::traffic::LocalServerStatus;

/// The number of hash bytes before a node's name in its key: enough to spread thousands of nodes
/// evenly.
const KEY_HASH_BYTES: usize = 4;

/// The key of a node's row: a hash of its name, followed by the name.
///
/// With the hash, any range of keys is a sample of nodes of all failure domains, whatever their
/// names are.
pub fn roster_key(node: &str) -> Name {
    let hash = stable_hash(node.bytes()).to_le_bytes();
    let hash: String = hash[..KEY_HASH_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    Name::from(format!("{hash}.{node}"))
}

/// The content of a node's row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RosterRow {
    /// Where gossip and control calls reach the node.
    pub control_address: Option<SocketAddr>,
    /// Its failure domain.
    #[serde(default)]
    pub domain: Option<Name>,
    /// The incarnation of its backend server that is leaving or has left, if any.
    pub leaving: Option<Name>,
    /// When that incarnation started, in Unix milliseconds, if it reported it.
    #[serde(default)]
    pub leaving_started_unix_ms: Option<u64>,
    /// Its backend server, as last reported.
    #[serde(default)]
    pub known: Option<KnownServer>,
    /// Set at a planned stop, and removed by the next process before it uses it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_handover: Option<RetryHandover>,
}

impl RosterRow {
    /// The row to store. `before` is its content from before this process started, which is kept
    /// until the backend server is known again.
    pub(super) fn of(
        control_address: SocketAddr,
        domain: &Name,
        status: &LocalServerStatus,
        before: Option<&Self>,
        retry_handover: Option<RetryHandover>,
    ) -> Self {
        let departure = status.departure.as_ref();
        let current = Self {
            control_address: Some(control_address),
            domain: Some(domain.clone()),
            leaving: departure.map(|departure| departure.incarnation.clone()),
            leaving_started_unix_ms: departure.and_then(|departure| departure.started_unix_ms),
            known: status.known.clone(),
            retry_handover,
        };
        match before {
            Some(before) if current.leaving.is_none() && current.known.is_none() => Self {
                control_address: current.control_address,
                domain: current.domain,
                retry_handover: current.retry_handover,
                ..before.clone()
            },
            _ => current,
        }
    }

    /// The departure that the row holds, if any.
    pub(super) fn departure(&self) -> Option<Departure> {
        Some(Departure {
            incarnation: self.leaving.clone()?,
            started_unix_ms: self.leaving_started_unix_ms,
        })
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub(super) fn decode(row: &StoredRow) -> Option<Self> {
        match serde_json::from_slice(&row.value) {
            Ok(decoded) => Some(decoded),
            Err(error) => {
                log::warn!(
                    "roster: row cannot be decoded, key={} error={error}",
                    row.name.key
                );
                None
            }
        }
    }
}
