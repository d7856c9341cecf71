//! When members and failure domains are doubted, and when a member is taken to be dead.

use std::net::SocketAddr;

use super::Action;
use super::Body;
use super::Member;
use super::Membership;
use super::Receiver;
use super::Liveness;
use super::Update;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// How many members are asked to probe one that did not answer.
const HELPERS: usize = 3;
/// How much longer than others a node waits that only heard of a suspicion.
const HEARSAY_PATIENCE: u64 = 3;

impl Membership {
    pub(super) fn ask_helpers(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let unanswered = self
            .probes
            .take_unanswered(now, self.settings.direct_timeout_ms);
        for (sequence, probe) in unanswered {
            let helpers = self.choose_helpers(&probe.node);
            let address = probe.address;
            let receiver = self.receiver(&probe.node, address);
            self.send_to(receiver, Body::Ping { sequence }, now, actions);
            for helper in helpers {
                let body = Body::PingRequest { sequence, address };
                self.send_to(Receiver::far(helper), body, now, actions);
            }
        }
    }

    /// Helpers of different failure domains: where two domains cannot reach each other, a third
    /// may reach both, and the member must not be suspected.
    pub(super) fn choose_helpers(&mut self, node: &Name) -> Vec<SocketAddr> {
        let mut by_domain: FastMap<Name, Vec<SocketAddr>> = FastMap::default();
        for member in self.table.iter() {
            let is_helper = member.record.node != *node && self.is_usable(member);
            if is_helper {
                let addresses = by_domain.entry(member.record.domain.clone()).or_default();
                addresses.push(member.record.control_address);
            }
        }
        let mut domains: Vec<Name> = by_domain.keys().cloned().collect();
        self.rng.shuffle(&mut domains);
        let mut helpers = Vec::new();
        while helpers.len() < HELPERS && !domains.is_empty() {
            domains.retain(|domain| !by_domain[domain].is_empty());
            for domain in &domains {
                let addresses = by_domain.get_mut(domain).expect("the domain is a key");
                let chosen = self.rng.usize(0..addresses.len());
                helpers.push(addresses.swap_remove(chosen));
            }
        }
        helpers.truncate(HELPERS);
        helpers
    }

    pub(super) fn suspect_failed(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let failed = self.probes.take_failed(now, self.settings.probe_timeout_ms);
        for probe in failed.into_iter().filter(|probe| probe.judges) {
            let Some(member) = self.table.get(&probe.node).cloned() else {
                continue;
            };
            if member.is_tombstone() || self.is_silent(&member.record.domain) {
                continue;
            }
            match member.liveness {
                Liveness::Suspected { since, .. } if probe.is_last => {
                    self.bury(&member, since, now);
                }
                Liveness::Suspected { since, .. } => {
                    let first_hand = true;
                    let liveness = Liveness::Suspected { since, first_hand };
                    self.table.set_liveness(&probe.node, liveness, now);
                }
                _ => self.suspect(&member, now, actions),
            }
        }
    }

    pub(super) fn suspect(&mut self, member: &Member, now: TimeMs, actions: &mut Vec<Action>) {
        let node = member.record.node.clone();
        log::debug!("gossip: suspect node={node} domain={}", member.record.domain);
        let liveness = Liveness::Suspected {
            since: now,
            first_hand: true,
        };
        self.set_liveness(member, liveness, now);
        let incarnation = member.record.incarnation;
        let update = Update::Suspect { node, incarnation };
        self.queue.push(update.clone(), false);
        // The suspect hears of it first, so that it can refute.
        self.send_updates(member.record.control_address, vec![update], now, actions);
    }

    /// Probes suspects that did not refute in time once more. Nobody is taken to be dead on old
    /// failures: a link may have been down for a moment, and its suspicions come due when it is
    /// back. Those who only heard of the suspicion leave this to those who raised it, unless they
    /// are gone too.
    pub(super) fn probe_overdue_suspects(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let overdue = |member: &&Member| match member.liveness {
            Liveness::Suspected { since, first_hand } => {
                let patience = if first_hand { 1 } else { HEARSAY_PATIENCE };
                now.since(since) >= patience * self.settings.suspicion_ms
            }
            _ => false,
        };
        let overdue = self.table.suspects().filter(overdue);
        let overdue: Vec<Name> = overdue.map(|member| member.record.node.clone()).collect();
        for node in overdue {
            self.probe(&node, true, now, actions);
        }
    }

    /// Takes a suspect to be dead, provided that its failure domain answered since it was
    /// suspected. Without this guard a domain cut off would be declared dead member by member on
    /// the other side, and healing would take thousands of refutations.
    pub(super) fn bury(&mut self, member: &Member, since: TimeMs, now: TimeMs) {
        if self.watch.last_answer(&member.record.domain) <= Some(since) {
            return;
        }
        let node = member.record.node.clone();
        log::info!("gossip: dead node={node} domain={}", member.record.domain);
        self.set_liveness(member, Liveness::Dead, now);
        let incarnation = member.record.incarnation;
        self.queue.push(Update::Dead { node, incarnation }, true);
    }

    /// Notes that a suspect answered. It was told of the suspicion and will refute it.
    pub(super) fn hear_suspect(&mut self, node: &Name, now: TimeMs) {
        let held = self.table.get(node).map(|member| member.liveness);
        if let Some(Liveness::Suspected { .. }) = held {
            let liveness = Liveness::Suspected {
                since: now,
                first_hand: false,
            };
            self.table.set_liveness(node, liveness, now);
        }
    }

    /// Finds the failure domains that fell silent. Suspicions of their members are dropped: it is
    /// the domain that cannot be reached, and on healing nobody has to refute.
    pub(super) fn judge_domains(&mut self, now: TimeMs) {
        let silent = self.watch.silent(now, self.settings.cut_off_ms);
        if silent == self.silent {
            return;
        }
        log::info!("gossip: silent failure domains changed domains={silent:?}");
        self.silent = silent;
        for domain in self.silent.clone() {
            self.drop_suspicions(&domain, now);
        }
    }

    /// Notes that a failure domain answers after it did not for a while. Suspicions from that time
    /// prove nothing, and the own domain hears of it at once.
    pub(super) fn hear_again(&mut self, domain: &Name, now: TimeMs) {
        log::debug!("gossip: failure domain answers again domain={domain}");
        self.drop_suspicions(domain, now);
        self.answers_are_urgent |= self.is_silent(domain);
    }

    pub(super) fn drop_suspicions(&mut self, domain: &Name, now: TimeMs) {
        let cleared: Vec<Member> = self
            .table
            .suspects()
            .filter(|member| member.record.domain == *domain)
            .cloned()
            .collect();
        for member in cleared {
            self.set_liveness(&member, Liveness::Alive, now);
        }
    }
}
