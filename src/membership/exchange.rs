//! Full exchanges of members over a control call, for a join or where much is missing.

use std::net::SocketAddr;

use super::Action;
use super::Membership;
use super::Standing;
use super::Update;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::Target;
use crate::core::TargetState;
use crate::core::TimeMs;

/// The least time between two full exchanges that this node starts.
const EXCHANGE_PERIOD_MS: u64 = 2_000;
/// More new members than this from one exchange are not passed on one by one: others get them
/// by exchanges too.
const MAX_PASSED_ON: usize = 32;

impl Membership {
    /// All members, for a full exchange over a control call.
    pub fn all_members(&self) -> Vec<Target> {
        self.table
            .iter()
            .map(|member| {
                let mut target = member.own.clone();
                if member.standing == Standing::Dead {
                    target.state = TargetState::Dead;
                }
                target
            })
            .collect()
    }

    /// Answers a full exchange: takes in what the asker knows, and returns what it lacks or holds
    /// older.
    pub fn answer_exchange(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        members: &[Target],
    ) -> (Vec<Target>, Vec<Action>) {
        let theirs: FastMap<&Name, (u64, bool)> = members
            .iter()
            .map(|target| (&target.node, order_of_target(target)))
            .collect();
        let mut answer = self.all_members();
        answer.retain(|ours| {
            let held = theirs.get(&ours.node);
            held.is_none_or(|held| order_of_target(ours) > *held)
        });
        (answer, self.merge(now, from, members))
    }

    /// Takes in what a full exchange brought from `from`.
    pub fn merge(&mut self, now: TimeMs, from: SocketAddr, members: &[Target]) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_bulk = members.len() > self.table.len() + MAX_PASSED_ON;
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
        their_members as usize > ours + ours / 8 + MAX_PASSED_ON / 4
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

fn order_of_target(target: &Target) -> (u64, bool) {
    (target.incarnation, target.state == TargetState::Dead)
}
