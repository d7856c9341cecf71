//! Decides which nodes watch the operator's row in the store, and which rely on gossip.

use crate::core::Target;
use crate::core::TargetState;
use crate::core::View;

/// Number of nodes of each failure domain that watch the store. With two, a change is still spread
/// at once while one of them is down and not yet known to be.
const WATCHERS_PER_DOMAIN: usize = 2;
/// A node that has received nothing from other nodes for this time queries the store itself, in
/// milliseconds. The answer then arrives well within 2 s, the shortest time in which a change has
/// to be in force.
const NO_CONTACT_MS: u64 = 1_400;
/// A node that has received no confirmation from the store for this time, neither directly nor by
/// gossip, may query the store itself, in milliseconds. The time is above the 5 s that a watcher's
/// long poll and the spread of its answer through the largest fleet take.
const UNCONFIRMED_MS: u64 = 6_000;
/// Where requests with keys are refused once the store's confirmation is too old, a node queries
/// the store when the confirmation has reached the maximum age divided by this.
const KEYS_REFRESH_DIVISOR: u64 = 2;
/// Expected number of nodes in the whole fleet that query the store at each check while its
/// confirmation is missing.
const FALLBACK_READERS: f64 = 4.0;

/// Expected number of nodes of each failure domain that fetch a document from another domain at
/// once.
const FETCHERS_PER_DOMAIN: f64 = 3.0;

/// How long a node waits for a desired state by gossip at the first start of the whole system, in
/// milliseconds after the nodes should have discovered each other. Then it queries the store
/// itself.
const GOSSIP_GRACE_MS: i64 = 2_500;

/// How long a long poll at the store stays open, in milliseconds. Together with the time for its
/// answer it ends within 3 s. If an outage loses it, this is detected before the store counts as
/// stable again.
pub const WATCH_LONG_POLL_MS: u64 = 2_000;
/// The longest back-off after failures, in milliseconds: well within the time in which a change has
/// to be in force.
pub const WATCH_MAX_BACKOFF_MS: u64 = 1_000;
/// How often a node that relies on gossip checks whether it has to query the store, in
/// milliseconds.
pub const WATCH_CHECK_INTERVAL_MS: u64 = 500;

/// How fresh a node's knowledge of the desired state is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateFreshness {
    /// Whether it has a desired state.
    pub has_state: bool,
    /// At the first start of the whole system, the time since the nodes should have discovered each
    /// other. It is negative before, when each node would consider itself a watcher. `None` at any
    /// other start.
    pub since_discovery_ms: Option<i64>,
    /// Time since it last received anything from another node.
    pub last_contact_ms_ago: u64,
    /// Age of the newest confirmation from the store that it holds nothing newer.
    pub confirmed_ms_ago: u64,
    /// The age of that confirmation beyond which requests with keys are refused, if any.
    pub keys_hold_ms: Option<u64>,
}

/// Whether a node queries the store now, rather than rely on gossip. `random` is uniform in 0..1.
///
/// A few nodes of each failure domain keep a long poll open, which is answered as soon as the state
/// changes, and spread the change at once by gossip. Every call to the store is charged, so calls
/// have to grow with the number of failure domains and not of nodes. When every node kept a long
/// poll open, 195 nodes made 17 calls each in 40 s, most of them for this.
///
/// The watchers may fail to reach a node, and a change would then be in force everywhere but there.
/// There are two cases. A node that is cut off from all others receives nothing, and queries the
/// store within the time limit of a change. If all watchers are lost or refused by the store, the
/// remaining nodes still exchange gossip, but the store's confirmation, which gossip carries with
/// its age, gets old. A few nodes, chosen at random, then query the store and spread its answer.
pub fn should_query_store(
    view: &View,
    node: &str,
    domain: &str,
    known: StateFreshness,
    random: f64,
) -> bool {
    if !known.has_state {
        return match known.since_discovery_ms {
            Some(since_ms) if since_ms < 0 => false,
            Some(since_ms) if since_ms < GOSSIP_GRACE_MS => is_watcher(view, node, domain),
            _ => true,
        };
    }
    if known.last_contact_ms_ago >= NO_CONTACT_MS || is_watcher(view, node, domain) {
        return true;
    }
    if known
        .keys_hold_ms
        .is_some_and(|ms| known.confirmed_ms_ago >= ms / KEYS_REFRESH_DIVISOR)
    {
        return true;
    }
    if known.confirmed_ms_ago < UNCONFIRMED_MS {
        return false;
    }
    let alive = view.nodes.values().filter(|peer| is_alive(peer)).count();
    random * (alive as f64) < FALLBACK_READERS
}

/// Whether a node fetches a document from a peer of another failure domain at once, rather than
/// wait until one of its own domain has it. `random` is uniform in 0..1.
pub fn should_fetch_across_domains(view: &View, domain: &str, random: f64) -> bool {
    let alive = view.nodes.values().filter(|peer| is_alive(peer));
    let in_domain = alive.filter(|peer| &*peer.domain == domain).count();
    random * (in_domain as f64) < FETCHERS_PER_DOMAIN
}

/// Whether a node is among the first living nodes of its failure domain, ordered by name.
pub fn is_watcher(view: &View, node: &str, domain: &str) -> bool {
    let before = view.nodes.values().filter(|peer| &*peer.domain == domain);
    let before = before.filter(|peer| is_alive(peer) && &*peer.node < node);
    before.take(WATCHERS_PER_DOMAIN).count() < WATCHERS_PER_DOMAIN
}

fn is_alive(peer: &Target) -> bool {
    !matches!(
        peer.state,
        TargetState::Suspect | TargetState::Dead | TargetState::Left
    )
}
