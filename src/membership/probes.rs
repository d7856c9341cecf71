//! Probes under way, this node's own and those it makes for others.

use std::net::SocketAddr;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// Bound on probes made for others at one time; requests beyond it are dropped, and the asker
/// has other helpers.
const MAX_RELAYS: usize = 64;
/// After this time an answer is of no use to the asker.
const RELAY_MS: u64 = 2_000;
/// Bound on this node's own probes under way.
const MAX_PROBES: usize = 64;

/// A probe of this node's own.
#[derive(Clone, Debug)]
pub struct Probe {
    pub node: Name,
    pub address: SocketAddr,
    pub sent: TimeMs,
    /// Whether silence counts against the member. It does not when its failure domain was cut off
    /// at the time: on healing, all such probes would fail at once and raise suspicions.
    pub judges: bool,
    /// Whether the member is dead if this fails as well.
    pub is_last: bool,
    /// Whether others were already asked to probe as well.
    pub indirect: bool,
}

/// A probe made on behalf of another member.
#[derive(Clone, Copy, Debug)]
struct Relay {
    asker: SocketAddr,
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
    /// Starts a probe; `None` when too many are under way.
    pub fn start(
        &mut self,
        node: Name,
        address: SocketAddr,
        judges: bool,
        is_last: bool,
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
            judges,
            is_last,
            indirect: false,
        };
        self.own.insert(sequence, probe);
        Some(sequence)
    }

    /// Starts a probe for `asker`; `None` when too many are under way.
    pub fn start_relay(&mut self, asker: SocketAddr, sequence: u32, now: TimeMs) -> Option<u32> {
        self.relays
            .retain(|_, relay| now.since(relay.sent) < RELAY_MS);
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let relay = Relay {
            asker,
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

    /// Ends a probe for another member: whom to tell, and the number that it knows.
    pub fn finish_relay(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        self.relays
            .remove(&sequence)
            .map(|relay| (relay.asker, relay.sequence))
    }

    /// Probes that got no answer in `timeout_ms` and are now to be made by others as well.
    pub fn take_unanswered(&mut self, now: TimeMs, timeout_ms: u64) -> Vec<(u32, Probe)> {
        self.own
            .iter_mut()
            .filter(|(_, probe)| {
                probe.judges && !probe.indirect && now.since(probe.sent) >= timeout_ms
            })
            .map(|(sequence, probe)| {
                probe.indirect = true;
                (*sequence, probe.clone())
            })
            .collect()
    }

    /// Ends the probes that failed: no answer in `timeout_ms`, neither directly nor relayed.
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

    /// Gives up all probes, after a pause in which no answer could be heard.
    pub fn clear(&mut self) {
        self.own.clear();
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }
}
