//! Which failure domains cannot be reached from here, judged by lost calls.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// A domain counts as unreachable after this many calls in a row have been lost without an answer
/// in between. A few calls are lost whenever a single node stops.
const MIN_LOST_CALLS: u32 = 3;
/// The calls also have to be lost to this many nodes of the domain. One node that is gone says
/// nothing about its domain.
const MIN_LOST_NODES: usize = 2;
/// How often one call is sent to probe an unreachable domain, in milliseconds. This is as long as a
/// new connection may take, so only one call at a time waits for one.
const PROBE_INTERVAL_MS: u64 = 400;
/// The most failure domains that are tracked. Deployments have a handful; further ones count as
/// reachable.
const MAX_DOMAINS: usize = 64;

#[derive(Clone, Debug, Default)]
struct Domain {
    /// Calls lost since the last answer, and the nodes that they were lost to, up to
    /// [`MIN_LOST_NODES`].
    lost: u32,
    lost_nodes: Vec<Name>,
    /// Calls avoid the domain.
    unreachable: bool,
    probed_at: TimeMs,
}

/// Calls lost on the way to each other failure domain since its last answer.
///
/// Guards against calls that are sent across a network partition for as long as it lasts. Each
/// waits for a connection and then fails because its peer is lost. Whole call trees fail although
/// their own side could run them. Gossip detects the partition only after seconds without messages.
/// Many calls cross at any time, so failed connections to several nodes without an answer from any
/// show it within half a second. One call per interval probes the domain, so its return is seen at
/// once. Missing answers alone are no evidence: a domain whose backend servers are slow does not
/// answer either.
#[derive(Clone, Debug, Default)]
pub struct DomainReachability {
    domains: FastMap<Name, Domain>,
}

impl DomainReachability {
    /// Records a call that is sent to a node of the domain.
    pub fn record_sent(&mut self, now: TimeMs, domain: &str) {
        if let Some(known) = self
            .domains
            .get_mut(domain)
            .filter(|known| known.unreachable)
        {
            known.probed_at = now;
        }
    }

    /// Records a call that was lost on the way: the node did not accept a connection, or broke it
    /// off. Returns whether the domain has just become unreachable.
    pub fn record_lost(&mut self, now: TimeMs, domain: &Name, node: &Name) -> bool {
        if self.domains.len() >= MAX_DOMAINS && !self.domains.contains_key(domain) {
            return false;
        }
        let known = self.domains.entry(domain.clone()).or_default();
        known.lost = known.lost.saturating_add(1);
        if known.lost_nodes.len() < MIN_LOST_NODES && !known.lost_nodes.contains(node) {
            known.lost_nodes.push(node.clone());
        }
        if known.unreachable
            || known.lost < MIN_LOST_CALLS
            || known.lost_nodes.len() < MIN_LOST_NODES
        {
            return false;
        }
        log::info!("entry: a failure domain is out of reach, domain={domain}");
        known.unreachable = true;
        known.probed_at = now;
        true
    }

    /// Records an answer of any kind from a node of the domain.
    pub fn record_answer(&mut self, domain: &str) {
        let Some(known) = self.domains.get_mut(domain) else {
            return;
        };
        if known.unreachable {
            log::info!("entry: a failure domain answers again, domain={domain}");
        }
        *known = Domain::default();
    }

    /// Whether the domain is unreachable.
    pub fn is_unreachable(&self, domain: &str) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|known| known.unreachable)
    }

    /// The domains to which no calls are sent now: those that are unreachable and not due for a
    /// probe.
    pub fn avoided(&self, now: TimeMs) -> Vec<Name> {
        let is_avoided =
            |known: &Domain| known.unreachable && now.since(known.probed_at) < PROBE_INTERVAL_MS;
        let avoided = self.domains.iter().filter(|(_, known)| is_avoided(known));
        avoided.map(|(name, _)| name.clone()).collect()
    }
}
