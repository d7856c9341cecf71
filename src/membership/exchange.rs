//! Full exchanges over a control call, for a join or when many members are missing. An exchange
//! covers all buckets, and the response holds the members of those that differ.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Action;
use super::Liveness;
use super::Member;
use super::Membership;
use super::Update;
use super::digest::bucket_of;
use crate::core::Target;
use crate::core::TargetState;
use crate::core::TimeMs;

/// Minimum time between two full exchanges that this node starts.
const EXCHANGE_PERIOD_MS: u64 = 500;
/// If one exchange brings more members than this, they are not forwarded as updates: other nodes
/// receive them by exchanges and comparisons too. In a starting fleet of hundreds of nodes,
/// forwarding them would use up the byte budget of updates for minutes.
const MAX_FORWARDED: usize = 4;
/// Many members are missing here if the peer has more than this node by one eighth plus
/// [`MISSING_MARGIN`].
const MISSING_DIVISOR: usize = 8;
const MISSING_MARGIN: usize = 8;

/// A request for an exchange of members.
///
/// If every node sent its whole table to several others at the start of a fleet, the bytes would
/// grow with the square of the number of nodes. With the digests, only the buckets that differ are
/// sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// The requester's own record.
    pub own: Target,
    /// Number of members that the requester considers alive.
    pub members: u32,
    /// Digests of the requester's members by bucket.
    pub digests: Vec<u32>,
}

impl Membership {
    /// The request for an exchange with a peer.
    pub fn exchange_request(&self) -> ExchangeRequest {
        ExchangeRequest {
            own: self.own.clone(),
            members: self.table.alive() as u32,
            digests: self.table.buckets().to_vec(),
        }
    }

    /// Answers an exchange with all members in the buckets that differ from the requester's. Merges
    /// the requester's own record, and requests an exchange in return if the requester has many
    /// more members.
    pub fn answer_exchange(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        request: &ExchangeRequest,
    ) -> (Vec<Target>, Vec<Action>) {
        let ours = self.table.buckets();
        let differs = |member: &&Member| {
            let bucket = bucket_of(&member.record.node);
            request.digests.get(bucket) != Some(&ours[bucket])
        };
        // About itself the requester receives only a record that overrides its own, such as one of
        // an earlier process.
        let is_newer = |target: &Target| {
            target.node != request.own.node
                || precedence_of_target(target) > precedence_of_target(&request.own)
        };
        let differing = self.table.iter().filter(differs).map(advertised_record);
        let answer = differing.filter(is_newer).collect();
        let mut actions = self.merge(now, from, std::slice::from_ref(&request.own));
        let may_request = request.own.domain == self.own.domain || self.requests_across_domains();
        if self.lacks_many(request.members) && may_request {
            self.start_exchange(request.own.control_address, now, &mut actions);
        }
        (answer, actions)
    }

    /// Merges the members that a full exchange with `from` returned.
    pub fn merge(&mut self, now: TimeMs, from: SocketAddr, members: &[Target]) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_bulk = members.len() > MAX_FORWARDED;
        for target in members {
            let (node, incarnation) = (target.node.clone(), target.incarnation);
            if target.state != TargetState::Dead {
                self.apply_from(
                    &Update::Own(target.clone()),
                    from,
                    !is_bulk,
                    now,
                    &mut actions,
                );
                continue;
            }
            // The table accepts no record with the state `Dead`, so the record is applied with
            // another state first. Dead members that are unknown here are not added.
            let mut record = target.clone();
            record.state = TargetState::Starting;
            let is_unknown = self.table.get(&node).is_none();
            if !is_unknown {
                self.apply_from(&Update::Own(record), from, false, now, &mut actions);
                let dead = Update::Dead { node, incarnation };
                self.apply_from(&dead, from, !is_bulk, now, &mut actions);
            }
        }
        self.publish_if_stale(&mut actions);
        actions
    }

    /// Whether a peer has so many more members that a comparison by buckets would be too slow. This
    /// happens when all nodes start at once.
    pub(super) fn lacks_many(&self, their_members: u32) -> bool {
        let ours = self.table.alive();
        their_members as usize > ours + ours / MISSING_DIVISOR + MISSING_MARGIN
    }

    /// Requests a full exchange, unless this node requested one within [`EXCHANGE_PERIOD_MS`].
    pub(super) fn start_exchange(
        &mut self,
        with: SocketAddr,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        if now >= self.schedule.next_exchange {
            self.schedule.next_exchange = now + EXCHANGE_PERIOD_MS;
            actions.push(Action::Exchange { with });
        }
    }
}

/// The record that is sent to others about a member.
fn advertised_record(member: &Member) -> Target {
    let mut target = member.record.clone();
    if member.liveness == Liveness::Dead {
        target.state = TargetState::Dead;
    }
    target
}

fn precedence_of_target(target: &Target) -> (u64, bool) {
    (target.incarnation, target.state == TargetState::Dead)
}
