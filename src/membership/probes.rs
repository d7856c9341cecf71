//! Pending probes: this node's own and those on behalf of others.

use std::net::SocketAddr;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// Maximum number of pending probes on behalf of others. Further requests are dropped, because the
/// requester sends them to other members too.
const MAX_RELAYS: usize = 64;
/// After this time an answer is of no use to the requester.
const RELAY_MS: u64 = 2_000;
/// Maximum number of pending probes of this node's own.
const MAX_PROBES: usize = 64;

/// A pending probe of this node's own.
#[derive(Clone, Debug)]
pub struct Probe {
    pub node: Name,
    pub address: SocketAddr,
    pub sent: TimeMs,
    /// Whether a missing answer counts against the member. It does not if the member's failure
    /// domain was cut off when the probe was sent: once the domain is reachable again, all such
    /// probes would fail at once and raise suspicions.
    pub is_conclusive: bool,
    /// Whether the member is declared dead if this probe fails too.
    pub is_final: bool,
    /// Whether indirect probes have been requested from other members.
    pub indirect_requested: bool,
}

/// A pending probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
struct Relay {
    requester: SocketAddr,
    sequence: u32,
    sent: TimeMs,
}

/// All probes that wait for an answer.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    last_sequence: u32,
    own: FastMap<u32, Probe>,
    relays: FastMap<u32, Relay>,
}

impl Probes {
    /// Starts a probe of `node`. Returns `None` if one is pending already, or too many others are.
    pub fn start(
        &mut self,
        node: Name,
        address: SocketAddr,
        is_conclusive: bool,
        is_final: bool,
        now: TimeMs,
    ) -> Option<u32> {
        if self.own.len() >= MAX_PROBES || self.own.values().any(|probe| probe.node == node) {
            return None;
        }
        let sequence = self.next_sequence();
        let probe = Probe {
            node,
            address,
            sent: now,
            is_conclusive,
            is_final,
            indirect_requested: false,
        };
        self.own.insert(sequence, probe);
        Some(sequence)
    }

    /// Starts a probe on behalf of `requester`. Returns `None` if too many are pending.
    pub fn start_relay(
        &mut self,
        requester: SocketAddr,
        sequence: u32,
        now: TimeMs,
    ) -> Option<u32> {
        self.relays
            .retain(|_, relay| now.since(relay.sent) < RELAY_MS);
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let relay = Relay {
            requester,
            sequence,
            sent: now,
        };
        let sequence = self.next_sequence();
        self.relays.insert(sequence, relay);
        Some(sequence)
    }

    /// Ends a probe of this node's own that was answered.
    pub fn finish(&mut self, sequence: u32) -> Option<Probe> {
        self.own.remove(&sequence)
    }

    /// Ends a probe on behalf of another member. Returns the requester's address and its sequence
    /// number.
    pub fn finish_relay(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        self.relays
            .remove(&sequence)
            .map(|relay| (relay.requester, relay.sequence))
    }

    /// The probes that were not answered within `timeout_ms` and are due for indirect probes. Each
    /// is returned once.
    pub fn take_unanswered(&mut self, now: TimeMs, timeout_ms: u64) -> Vec<(u32, Probe)> {
        self.own
            .iter_mut()
            .filter(|(_, probe)| {
                probe.is_conclusive
                    && !probe.indirect_requested
                    && now.since(probe.sent) >= timeout_ms
            })
            .map(|(sequence, probe)| {
                probe.indirect_requested = true;
                (*sequence, probe.clone())
            })
            .collect()
    }

    /// Ends the probes that got neither a direct nor a relayed answer within `timeout_ms`.
    pub fn take_failed(&mut self, now: TimeMs, timeout_ms: u64) -> Vec<Probe> {
        let failed: Vec<u32> = self
            .own
            .iter()
            .filter(|(_, probe)| now.since(probe.sent) >= timeout_ms)
            .map(|(sequence, _)| *sequence)
            .collect();
        failed
            .iter()
            .filter_map(|sequence| self.own.remove(sequence))
            .collect()
    }

    /// Drops this node's own probes, after a pause in which no answer could be received.
    pub fn clear(&mut self) {
        self.own.clear();
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }
}
