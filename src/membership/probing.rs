//! Whom a member probes, and when.

use std::net::SocketAddr;

use super::Action;
use super::Body;
use super::Member;
use super::MemberTable;
use super::Membership;
use super::Receiver;
use super::Liveness;
use super::Update;
use super::membership::PROBE_CYCLE;
use crate::core::Name;
use crate::core::Target;
use crate::core::TimeMs;

/// Two of three probes go to the own failure domain, so that it works alike when cut off.
const OWN_DOMAIN_PROBES: u64 = 2;
/// A failure domain whose last answer is older than this gets extra probes.
const QUIET_DOMAIN_MS: u64 = 1_500;
/// A node that knows of no answer for so long asks a member of its own domain for fresher news.
const STALE_ANSWER_MS: u64 = 2_500;
/// How many extra probes a quiet failure domain gets from the whole own domain in each period.
const QUIET_DOMAIN_PROBES: f64 = 2.0;
/// A member that was lost for less than this is likely to be in a restart, in milliseconds: one takes
/// seconds, and a new machine in its place a minute.
const LATELY_LOST_MS: u64 = 60_000;
/// How many of them each member tries in each rejoin period: all members together reach one that is
/// back within a second, and a whole region that is lost takes little of the byte budget.
const LATELY_LOST_TRIES: usize = 4;
/// How many seeds all members that know each other try in each rejoin period. When everything
/// starts at once, seeds would otherwise be asked by everybody for everything.
const SEED_TRIES: f64 = 8.0;

impl Membership {
    pub(super) fn probe_next(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let is_own_turn = self.probe_count % PROBE_CYCLE < OWN_DOMAIN_PROBES;
        self.probe_count += 1;
        let next = match is_own_turn {
            true => self.next_own().or_else(|| self.next_other()),
            false => self.next_other().or_else(|| self.next_own()),
        };
        if let Some(node) = next {
            self.probe(&node, false, now, actions);
        }
    }

    pub(super) fn next_own(&mut self) -> Option<Name> {
        let (table, own) = (&self.table, &self.own);
        let refill = || {
            names_of(table, |member| {
                is_other(member, own) && is_near(member, own)
            })
        };
        self.own_ring.next(&mut self.rng, refill)
    }

    pub(super) fn next_other(&mut self) -> Option<Name> {
        let (table, own, silent) = (&self.table, &self.own, &self.silent);
        let refill = || {
            names_of(table, |member| {
                let is_far = is_other(member, own) && !is_near(member, own);
                is_far && !silent.contains(&member.record.domain)
            })
        };
        self.other_ring.next(&mut self.rng, refill)
    }

    /// Probes failure domains that were not heard of lately. Each node does so with a chance that
    /// makes about two probes of the whole domain, however many nodes it has.
    pub(super) fn probe_quiet_domains(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let quiet = self.watch.silent(now, QUIET_DOMAIN_MS);
        if quiet.is_empty() {
            return;
        }
        let own = &self.own;
        let near = self.table.iter().filter(|member| is_near(member, own));
        let near = near.filter(|member| !member.is_tombstone()).count();
        let chance = QUIET_DOMAIN_PROBES / near.max(1) as f64;
        for domain in quiet {
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

    /// Pings one more member of the own domain while some domain's last answer is old here:
    /// usually others heard a newer one, and the header of the answer brings it.
    pub(super) fn ask_for_answers(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let old = self.watch.silent(now, STALE_ANSWER_MS);
        if old.iter().any(|domain| *domain != self.own.domain) {
            let next = self.next_own();
            if let Some(node) = next {
                self.probe(&node, false, now, actions);
            }
        }
    }

    pub(super) fn probe(
        &mut self,
        node: &Name,
        is_last: bool,
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
        let judges = !self.is_silent(&member.record.domain);
        let Some(sequence) = self
            .probes
            .start(node.clone(), address, judges, is_last, now)
        else {
            return;
        };
        let node = node.clone();
        let told = match liveness {
            Liveness::Suspected { .. } => vec![Update::Suspect { node, incarnation }],
            _ => Vec::new(),
        };
        let receiver = Receiver {
            address,
            is_near: member_is_near,
        };
        self.send_telling(receiver, Body::Ping { sequence }, told, now, actions);
    }

    /// Tries some lost members and one seed that no member alive uses. They may have come back
    /// unheard, and two parts that know nothing of each other find together only this way.
    pub(super) fn try_lost(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
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
            // Nobody waits for the answer; that it comes is what counts.
            let receiver = Receiver::far(address);
            self.send_to(receiver, Body::Ping { sequence: 0 }, now, actions);
        }
    }

    /// Addresses of members that died or departed: a few of those that did so lately, and any one.
    ///
    /// Guards against a node that is restarted as planned while the platform's store is out of reach:
    /// it knows nobody to begin with, so it serves nothing until the store is back, and its backend
    /// server is lost to all others. It holds because those remember where it was.
    fn choose_lost(&mut self, now: TimeMs) -> Vec<SocketAddr> {
        let own = &self.own.node;
        let lost = self.table.iter().filter(|member| member.is_tombstone());
        let lost: Vec<&Member> = lost.filter(|member| member.record.node != *own).collect();
        let is_late = |member: &&Member| now.since(member.changed) < LATELY_LOST_MS;
        let lately: Vec<&Member> = lost.iter().copied().filter(is_late).collect();
        let mut chosen = self.rng.choose_multiple(lately, LATELY_LOST_TRIES);
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
