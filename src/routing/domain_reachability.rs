//! Which failure domains cannot be reached from here, by what becomes of the calls sent there.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// So many calls in a row have to be lost, without an answer in between, before a domain counts as out
/// of reach: a few are lost when single nodes end.
const LOST_CALLS: u32 = 3;
/// And to so many of its nodes: one that is gone says nothing about its domain.
const LOST_NODES: usize = 2;
/// How often a domain that is out of reach is tried with one call, in milliseconds: as long as a new
/// connection may take, so that one call at a time waits for it.
const TRY_EVERY_MS: u64 = 400;
/// Failure domains watched at most. Deployments have a handful; further ones count as reachable.
const MOST_DOMAINS: usize = 64;

#[derive(Clone, Debug, Default)]
struct Domain {
    /// Calls lost since the last answer, and the nodes that they were lost to, up to [`LOST_NODES`].
    lost: u32,
    lost_nodes: Vec<Name>,
    /// Out of reach.
    closed: bool,
    tried_at: TimeMs,
}

/// What was lost on the way to each other failure domain, and whether anything came back.
///
/// Guards against calls that go on being sent across a cut: each waits for a connection, and whole call
/// trees fail although their own side could run them. It shows as lost peers for as long as the cut
/// lasts, for gossip takes a domain to be cut off only after seconds of silence. It holds because many
/// calls cross at any time, so connections that cannot be made to several nodes, and no answer from
/// any, tell within half a second; and because one call in a while tries the domain, so that its return
/// is seen at once. Silence alone says nothing: a domain whose backend servers are slow is silent too.
#[derive(Clone, Debug, Default)]
pub struct DomainReachability {
    domains: FastMap<Name, Domain>,
}

impl DomainReachability {
    /// Notes a call that is sent to a node of the domain.
    pub fn note_sent(&mut self, now: TimeMs, domain: &str) {
        if let Some(known) = self.domains.get_mut(domain).filter(|known| known.closed) {
            known.tried_at = now;
        }
    }

    /// Notes a call that was lost on the way: the node took no connection, or broke it off. Returns
    /// whether the domain has just turned out to be out of reach.
    pub fn note_lost(&mut self, now: TimeMs, domain: &Name, node: &Name) -> bool {
        if self.domains.len() >= MOST_DOMAINS && !self.domains.contains_key(domain) {
            return false;
        }
        let known = self.domains.entry(domain.clone()).or_default();
        known.lost = known.lost.saturating_add(1);
        if known.lost_nodes.len() < LOST_NODES && !known.lost_nodes.contains(node) {
            known.lost_nodes.push(node.clone());
        }
        if known.closed || known.lost < LOST_CALLS || known.lost_nodes.len() < LOST_NODES {
            return false;
        }
        log::info!("entry: a failure domain is out of reach, domain={domain}");
        known.closed = true;
        known.tried_at = now;
        true
    }

    /// Notes an answer of any kind from a node of the domain.
    pub fn note_answer(&mut self, domain: &str) {
        let Some(known) = self.domains.get_mut(domain) else {
            return;
        };
        if known.closed {
            log::info!("entry: a failure domain answers again, domain={domain}");
        }
        *known = Domain::default();
    }

    /// Whether the domain is out of reach.
    pub fn is_unreachable(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|known| known.closed)
    }

    /// The domains that calls are not sent to now: those out of reach that are not due for a try.
    pub fn avoided(&self, now: TimeMs) -> Vec<Name> {
        let is_avoided = |known: &Domain| known.closed && now.since(known.tried_at) < TRY_EVERY_MS;
        let avoided = self.domains.iter().filter(|(_, known)| is_avoided(known));
        avoided.map(|(name, _)| name.clone()).collect()
    }
}
