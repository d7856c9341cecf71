//! Full exchanges of members over a control call, for a join or where much is missing.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Action;
use super::Member;
use super::Membership;
use super::Liveness;
use super::Update;
use super::digest::bucket_of;
use crate::core::Target;
use crate::core::TargetState;
use crate::core::TimeMs;

/// The least time between two full exchanges that this node starts.
const EXCHANGE_PERIOD_MS: u64 = 500;
/// More members than this from one exchange are not passed on one by one: others get them by exchanges
/// and comparisons too. Passed on, the members of a fleet of hundreds that starts would fill the byte
/// budget of news for minutes.
const MAX_PASSED_ON: usize = 4;
/// Another node has to know one part in this more members than this one does, and a few more than that,
/// for an exchange.
const MANY_PART: usize = 8;
const MANY_LEAST: usize = 8;

/// What a node asks another with for an exchange of members.
///
/// Guards against whole tables that are sent by everybody to several others when a fleet starts: bytes in
/// the square of the nodes. It holds because only what differs is told, by buckets of members.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// What the asker says of itself.
    pub own: Target,
    /// How many members the asker takes to be alive.
    pub members: u32,
    /// Digests of the asker's members by bucket.
    pub digests: Vec<u32>,
}

impl Membership {
    /// What to ask a peer with for an exchange.
    pub fn exchange_request(&self) -> ExchangeRequest {
        ExchangeRequest {
            own: self.own.clone(),
            members: self.table.alive() as u32,
            digests: self.table.buckets().to_vec(),
        }
    }

    /// Answers an exchange: all that is known here where the asker holds something else. Takes in what the
    /// asker says of itself, and asks back where it knows much more.
    pub fn answer_exchange(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        ask: &ExchangeRequest,
    ) -> (Vec<Target>, Vec<Action>) {
        let ours = self.table.buckets();
        let differs = |member: &&Member| {
            let bucket = bucket_of(&member.record.node);
            ask.digests.get(bucket) != Some(&ours[bucket])
        };
        // Of itself the asker is told only what overrides its own word: what is held of an earlier process.
        let is_news = |target: &Target| {
            target.node != ask.own.node || order_of_target(target) > order_of_target(&ask.own)
        };
        let differing = self.table.iter().filter(differs).map(as_told);
        let answer = differing.filter(is_news).collect();
        let mut actions = self.merge(now, from, std::slice::from_ref(&ask.own));
        let may_ask = ask.own.domain == self.own.domain || self.asks_across();
        if self.lacks_many(ask.members) && may_ask {
            self.start_exchange(ask.own.control_address, now, &mut actions);
        }
        (answer, actions)
    }

    /// Takes in what a full exchange brought from `from`.
    pub fn merge(&mut self, now: TimeMs, from: SocketAddr, members: &[Target]) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_bulk = members.len() > MAX_PASSED_ON;
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
            let mut own = target.clone();
            own.state = TargetState::Starting;
            let is_unknown = self.table.get(&node).is_none();
            if !is_unknown {
                self.apply_from(&Update::Own(own), from, false, now, &mut actions);
                let dead = Update::Dead { node, incarnation };
                self.apply_from(&dead, from, !is_bulk, now, &mut actions);
            }
        }
        self.publish_if_stale(&mut actions);
        actions
    }

    /// Whether a peer knows so many more members that comparing bucket by bucket is too slow; it
    /// is so when everything starts at once.
    pub(super) fn lacks_many(&self, their_members: u32) -> bool {
        let ours = self.table.alive();
        their_members as usize > ours + ours / MANY_PART + MANY_LEAST
    }

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

/// What is told of a member.
fn as_told(member: &Member) -> Target {
    let mut target = member.record.clone();
    if member.liveness == Liveness::Dead {
        target.state = TargetState::Dead;
    }
    target
}

fn order_of_target(target: &Target) -> (u64, bool) {
    (target.incarnation, target.state == TargetState::Dead)
}
