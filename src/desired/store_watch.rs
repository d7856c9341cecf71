//! Which nodes follow the operator's row in the store, and which rely on the others' word.

use crate::core::Target;
use crate::core::TargetState;
use crate::core::View;

/// Nodes of each failure domain that follow the store. Two, so that a change is told at once also while
/// one of them is down and not yet known to be.
const WATCHERS_A_DOMAIN: usize = 2;
/// After this silence of all other nodes a node asks the store itself, in milliseconds: with the answer
/// well within the shortest time in which a change has to be in force, which is 2 s.
const SILENT_MS: u64 = 1_400;
/// After this time without word from the store, its own or through others, a node may ask itself, in
/// milliseconds: above the 5 s that a watcher's question and the way of its answer through the largest
/// fleet take.
const UNCONFIRMED_MS: u64 = 6_000;
/// Where keys hold for a time only, a node asks after one part in this of it.
const KEYS_HOLD_PART: u64 = 2;
/// How many nodes of the whole fleet ask in each look when there is no word from the store.
const ASKERS: f64 = 4.0;

/// Nodes of each failure domain that take a document over from another domain at once.
const FETCHERS: f64 = 3.0;

/// So long after nodes that started together have found each other, in milliseconds, one that has not been
/// told of a desired state asks itself.
const TOLD_AFTER_MS: i64 = 2_500;

/// How long a question to the store stays open, in milliseconds. With the time that its answer may take
/// it ends within 3 s: an outage that swallowed it is noticed before the store counts as calm again.
pub const WATCH_LONG_POLL_MS: u64 = 2_000;
/// The longest pause after failures, in milliseconds: well within the time in which a change has to be
/// in force.
pub const WATCH_MAX_BACKOFF_MS: u64 = 1_000;
/// How often a node that relies on others looks whether it still can, in milliseconds.
pub const WATCH_CHECK_INTERVAL_MS: u64 = 500;

/// How fresh a node's knowledge of the desired state is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateFreshness {
    /// It knows a desired state.
    pub has_state: bool,
    /// For how long nodes have found each other, if the whole system starts for the first time: below 0
    /// while they still look for each other, and each would take itself for a watcher.
    pub found_for_ms: Option<i64>,
    /// How long ago it heard of any other node.
    pub heard_ms_ago: u64,
    /// How long ago the store was last known to hold nothing newer.
    pub confirmed_ms_ago: u64,
    /// How old that may become before requests with keys are refused for it, if ever.
    pub keys_hold_ms: Option<u64>,
}

/// Whether a node asks the store now, rather than rely on what others tell. `random` is uniform in 0..1.
///
/// A few nodes of each failure domain keep a question open, which is answered at the change itself, and
/// tell all others at once by gossip. Every call to the store is paid for, so calls grow with the
/// failure domains and not with the nodes: with a question of every node, 195 of them made 17 calls each
/// in 40 s, most of them for this.
///
/// Guards against a node that the watchers cannot tell. It shows as a change that is in force everywhere
/// but there. Cut off from all others it hears nothing, and asks within the time that a change has. Where
/// all watchers are lost or turned away by the store, those that hear each other miss the store's word,
/// which gossip carries with its age; then a few of them ask, whichever, and tell the others.
pub fn should_query_store(
    view: &View,
    node: &str,
    domain: &str,
    known: StateFreshness,
    random: f64,
) -> bool {
    if !known.has_state {
        return match known.found_for_ms {
            Some(for_ms) if for_ms < 0 => false,
            Some(for_ms) if for_ms < TOLD_AFTER_MS => is_watcher(view, node, domain),
            _ => true,
        };
    }
    if known.heard_ms_ago >= SILENT_MS || is_watcher(view, node, domain) {
        return true;
    }
    if known
        .keys_hold_ms
        .is_some_and(|ms| known.confirmed_ms_ago >= ms / KEYS_HOLD_PART)
    {
        return true;
    }
    if known.confirmed_ms_ago < UNCONFIRMED_MS {
        return false;
    }
    let living = view.nodes.values().filter(|peer| lives(peer)).count();
    random * (living as f64) < ASKERS
}

/// Whether a node takes a document over from a peer of another failure domain at once, rather than wait for
/// one of its own to have it. `random` is uniform in 0..1.
pub fn should_fetch_across_domains(view: &View, domain: &str, random: f64) -> bool {
    let living = view.nodes.values().filter(|peer| lives(peer));
    let near = living.filter(|peer| &*peer.domain == domain).count();
    random * (near as f64) < FETCHERS
}

/// Whether a node is among the first of those that live in its failure domain, by name.
pub fn is_watcher(view: &View, node: &str, domain: &str) -> bool {
    let before = view.nodes.values().filter(|peer| &*peer.domain == domain);
    let before = before.filter(|peer| lives(peer) && &*peer.node < node);
    before.take(WATCHERS_A_DOMAIN).count() < WATCHERS_A_DOMAIN
}

fn lives(peer: &Target) -> bool {
    !matches!(
        peer.state,
        TargetState::Suspect | TargetState::Dead | TargetState::Left
    )
}
