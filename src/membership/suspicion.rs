//! Suspicion of members and failure domains, and declaration of deaths.

use std::net::SocketAddr;

use super::Action;
use super::Body;
use super::Liveness;
use super::Member;
use super::Membership;
use super::Receiver;
use super::Update;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// How many members get a request for an indirect probe of a member that did not answer.
const INDIRECT_PROBES: usize = 3;
/// A node that only received a suspicion waits this many times the suspicion period.
const REMOTE_SUSPICION_FACTOR: u64 = 3;

impl Membership {
    /// Pings each member again that did not answer within `direct_timeout_ms`, and requests
    /// indirect probes of it.
    pub(super) fn request_indirect_probes(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
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

    /// Chooses the members that make the indirect probes, from different failure domains. If two
    /// domains cannot reach each other, a third may reach both, and then the member must not be
    /// suspected.
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
        while helpers.len() < INDIRECT_PROBES && !domains.is_empty() {
            domains.retain(|domain| !by_domain[domain].is_empty());
            for domain in &domains {
                let addresses = by_domain.get_mut(domain).expect("the domain is a key");
                let chosen = self.rng.usize(0..addresses.len());
                helpers.push(addresses.swap_remove(chosen));
            }
        }
        helpers.truncate(INDIRECT_PROBES);
        helpers
    }

    /// Suspects the members whose probes failed, and declares those dead whose last probe failed.
    pub(super) fn suspect_failed(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let failed = self.probes.take_failed(now, self.settings.probe_timeout_ms);
        for probe in failed.into_iter().filter(|probe| probe.is_conclusive) {
            let Some(member) = self.table.get(&probe.node).cloned() else {
                continue;
            };
            if member.is_tombstone() || self.is_silent(&member.record.domain) {
                continue;
            }
            match member.liveness {
                Liveness::Suspected { since, .. } if probe.is_final => {
                    self.declare_dead(&member, since, now);
                }
                Liveness::Suspected { since, .. } => {
                    let is_local = true;
                    let liveness = Liveness::Suspected { since, is_local };
                    self.table.set_liveness(&probe.node, liveness, now);
                }
                _ => self.suspect(&member, now, actions),
            }
        }
    }

    pub(super) fn suspect(&mut self, member: &Member, now: TimeMs, actions: &mut Vec<Action>) {
        let node = member.record.node.clone();
        log::debug!(
            "gossip: suspect node={node} domain={}",
            member.record.domain
        );
        let liveness = Liveness::Suspected {
            since: now,
            is_local: true,
        };
        self.set_liveness(member, liveness, now);
        let incarnation = member.record.incarnation;
        let update = Update::Suspect { node, incarnation };
        self.queue.push(update.clone(), false);
        // The suspected member is informed first, so that it can refute.
        self.send_updates(member.record.control_address, vec![update], now, actions);
    }

    /// Probes once more the suspected members that did not refute in time. No member is declared
    /// dead because of old failures: if a link was down for a moment, the suspicions come due after
    /// it is back. A node that only received the suspicion leaves this probe to the nodes that
    /// raised it, unless those are gone too.
    pub(super) fn probe_overdue_suspects(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        let overdue = |member: &&Member| match member.liveness {
            Liveness::Suspected { since, is_local } => {
                let factor = if is_local { 1 } else { REMOTE_SUSPICION_FACTOR };
                now.since(since) >= factor * self.settings.suspicion_ms
            }
            _ => false,
        };
        let overdue = self.table.suspects().filter(overdue);
        let overdue: Vec<Name> = overdue.map(|member| member.record.node.clone()).collect();
        for node in overdue {
            self.probe(&node, true, now, actions);
        }
    }

    /// Declares a suspected member dead, if its failure domain has answered since the suspicion
    /// began. Without this guard the other side would declare a cut-off domain dead member by
    /// member, and thousands of refutations would be needed once it is reachable again.
    pub(super) fn declare_dead(&mut self, member: &Member, since: TimeMs, now: TimeMs) {
        if self.watch.last_answer(&member.record.domain) <= Some(since) {
            return;
        }
        let node = member.record.node.clone();
        log::info!("gossip: dead node={node} domain={}", member.record.domain);
        self.set_liveness(member, Liveness::Dead, now);
        let incarnation = member.record.incarnation;
        self.queue.push(Update::Dead { node, incarnation }, true);
    }

    /// Restarts the suspicion of a member that answered. The member has been informed of the
    /// suspicion and will refute it.
    pub(super) fn restart_suspicion(&mut self, node: &Name, now: TimeMs) {
        let held = self.table.get(node).map(|member| member.liveness);
        if let Some(Liveness::Suspected { .. }) = held {
            let liveness = Liveness::Suspected {
                since: now,
                is_local: false,
            };
            self.table.set_liveness(node, liveness, now);
        }
    }

    /// Updates the set of silent failure domains. Suspicions of their members are dropped: the
    /// whole domain cannot be reached, and no member has to refute once it can be reached again.
    pub(super) fn update_silent_domains(&mut self, now: TimeMs) {
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

    /// Handles a failure domain that answers again after a silence. Suspicions from that time are
    /// inconclusive. If the domain counted as cut off, this node's own domain is informed at once.
    pub(super) fn handle_reachable_domain(&mut self, domain: &Name, now: TimeMs) {
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
