//! The choice of members to probe, and the schedule of the probes.

use std::net::SocketAddr;

use super::Action;
use super::Body;
use super::Liveness;
use super::Member;
use super::MemberTable;
use super::Membership;
use super::Receiver;
use super::Update;
use super::membership::PROBE_CYCLE;
use crate::core::Name;
use crate::core::Target;
use crate::core::TimeMs;

/// Two of three probes go to this node's own failure domain, so that failure detection inside it
/// works the same when the domain is cut off.
const OWN_DOMAIN_PROBES: u64 = 2;
/// A failure domain whose last answer is older than this gets additional probes.
const EXTRA_PROBES_AFTER_MS: u64 = 1_500;
/// A node whose newest answer from a failure domain is older than this pings another member of its
/// own domain for a newer one.
const STALE_ANSWER_MS: u64 = 2_500;
/// How many additional probes such a failure domain gets in each probe period from all members of
/// one domain together.
const EXTRA_PROBES: f64 = 2.0;
/// A member that was lost for less than this time is likely to be restarting. A restart takes
/// seconds, and a replacement of the VM takes a minute.
const RECENTLY_LOST_MS: u64 = 60_000;
/// How many recently lost members each member pings in each rejoin period. All members together
/// reach a returning member within a second, and the loss of a whole region takes little of the
/// byte budget.
const RECENTLY_LOST_TRIES: usize = 4;
/// How many pings all members of one partition together send to seeds in each rejoin period.
/// Without the bound, every node would ping the seeds when all nodes start at once, and request all
/// members from them.
const SEED_TRIES: f64 = 8.0;

impl Membership {
    pub(super) fn probe_next(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let is_own_turn = self.probe_count % PROBE_CYCLE < OWN_DOMAIN_PROBES;
        self.probe_count += 1;
        let next = match is_own_turn {
            true => self
                .next_in_own_domain()
                .or_else(|| self.next_in_other_domain()),
            false => self
                .next_in_other_domain()
                .or_else(|| self.next_in_own_domain()),
        };
        if let Some(node) = next {
            self.probe(&node, false, now, actions);
        }
    }

    pub(super) fn next_in_own_domain(&mut self) -> Option<Name> {
        let (table, own) = (&self.table, &self.own);
        let refill = || {
            names_of(table, |member| {
                is_other(member, own) && is_near(member, own)
            })
        };
        self.own_ring.next(&mut self.rng, refill)
    }

    pub(super) fn next_in_other_domain(&mut self) -> Option<Name> {
        let (table, own, silent) = (&self.table, &self.own, &self.silent);
        let refill = || {
            names_of(table, |member| {
                let is_far = is_other(member, own) && !is_near(member, own);
                is_far && !silent.contains(&member.record.domain)
            })
        };
        self.other_ring.next(&mut self.rng, refill)
    }

    /// Probes failure domains that have not answered recently. Each node does so with a probability
    /// that gives about two probes from the whole domain, whatever its number of nodes.
    pub(super) fn send_extra_probes(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let unanswered = self.watch.silent(now, EXTRA_PROBES_AFTER_MS);
        if unanswered.is_empty() {
            return;
        }
        let own = &self.own;
        let near = self.table.iter().filter(|member| is_near(member, own));
        let near = near.filter(|member| !member.is_tombstone()).count();
        let chance = EXTRA_PROBES / near.max(1) as f64;
        for domain in unanswered {
            if domain == self.own.domain || self.rng.f64() >= chance {
                continue;
            }
            let in_domain = |member: &Member| member.record.domain == domain;
            let names = names_of(&self.table, |member| {
                in_domain(member) && !member.is_tombstone()
            });
            if let Some(node) = self.rng.choice(&names).cloned() {
                self.probe(&node, false, now, actions);
            }
        }
    }

    /// Pings one more member of this node's own failure domain if the newest known answer of
    /// another domain is old. Other members usually hold a newer one, and the header of the
    /// response carries it.
    pub(super) fn refresh_domain_answers(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let old = self.watch.silent(now, STALE_ANSWER_MS);
        if old.iter().any(|domain| *domain != self.own.domain) {
            let next = self.next_in_own_domain();
            if let Some(node) = next {
                self.probe(&node, false, now, actions);
            }
        }
    }

    pub(super) fn probe(
        &mut self,
        node: &Name,
        is_final: bool,
        now: TimeMs,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.table.get(node) else {
            return;
        };
        if member.is_tombstone() {
            return;
        }
        let address = member.record.control_address;
        let liveness = member.liveness;
        let incarnation = member.record.incarnation;
        let member_is_near = is_near(member, &self.own);
        let is_conclusive = !self.is_silent(&member.record.domain);
        let Some(sequence) = self
            .probes
            .start(node.clone(), address, is_conclusive, is_final, now)
        else {
            return;
        };
        let node = node.clone();
        let required = match liveness {
            Liveness::Suspected { .. } => vec![Update::Suspect { node, incarnation }],
            _ => Vec::new(),
        };
        let receiver = Receiver {
            address,
            is_near: member_is_near,
        };
        self.send_with_updates(receiver, Body::Ping { sequence }, required, now, actions);
    }

    /// Pings some lost members, and one seed that is not the address of a member alive. A lost
    /// member may have returned unnoticed. Two partitions that hold no members of each other can
    /// only merge this way.
    pub(super) fn ping_lost(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let chosen = self.choose_lost(now);
        let unknown: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|seed| !self.is_address_alive(**seed))
            .copied()
            .collect();
        let chance = SEED_TRIES / self.table.alive().max(1) as f64;
        let tries_seed = self.rng.f64() < chance;
        let seed = self.rng.choice(&unknown).copied().filter(|_| tries_seed);
        for address in chosen.into_iter().chain(seed) {
            // No probe is registered for the answer. Its arrival alone matters.
            let receiver = Receiver::far(address);
            self.send_to(receiver, Body::Ping { sequence: 0 }, now, actions);
        }
    }

    /// The addresses of members that died or left: a few of the recent ones, and one chosen among
    /// all.
    ///
    /// If a node is restarted as planned while the platform's store is unreachable, it has no
    /// address of any other member. Without these pings it would serve nothing until the store is
    /// back, and no other node could use its backend server. The other members still hold its
    /// address and ping it.
    fn choose_lost(&mut self, now: TimeMs) -> Vec<SocketAddr> {
        let own = &self.own.node;
        let lost = self.table.iter().filter(|member| member.is_tombstone());
        let lost: Vec<&Member> = lost.filter(|member| member.record.node != *own).collect();
        let is_recent = |member: &&Member| now.since(member.changed) < RECENTLY_LOST_MS;
        let recent: Vec<&Member> = lost.iter().copied().filter(is_recent).collect();
        let mut chosen = self.rng.choose_multiple(recent, RECENTLY_LOST_TRIES);
        chosen.extend(self.rng.choice(&lost).copied());
        let mut addresses: Vec<SocketAddr> = chosen
            .into_iter()
            .map(|member| member.record.control_address)
            .filter(|address| !self.is_address_alive(*address))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    pub(super) fn is_address_alive(&self, address: SocketAddr) -> bool {
        let mut alive = self.table.iter().filter(|member| !member.is_tombstone());
        alive.any(|member| member.record.control_address == address)
    }
}

fn is_other(member: &Member, own: &Target) -> bool {
    member.record.node != own.node && !member.is_tombstone()
}

fn is_near(member: &Member, own: &Target) -> bool {
    member.record.domain == own.domain
}

fn names_of(table: &MemberTable, wanted: impl Fn(&Member) -> bool) -> Vec<Name> {
    table
        .iter()
        .filter(|member| wanted(member))
        .map(|member| member.record.node.clone())
        .collect()
}
