//! The load coordinator of a failure domain, for the services that fall to this node.

use std::sync::Arc;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::membership::domain_hash;
use crate::placement::CoordinatorChoice;
use crate::placement::DomainFigures;
use crate::placement::DomainSplit;
use crate::placement::LoadMessage;
use crate::placement::PeerLoadMessage;
use crate::placement::ServiceLoad;
use crate::placement::ServiceReply;
use crate::placement::ServiceReport;
use crate::placement::coordinator_context::CoordinatorContext;
use crate::placement::service_coordinator::LoadSnapshot;
use crate::placement::service_coordinator::ServiceCoordinator;

/// The most services that a node coordinates. Beyond it the one that was heard of longest ago is
/// evicted. In a failure domain with a single node all services fall to that node.
const MAX_SERVICES: usize = 512;

/// The services that this node coordinates.
#[derive(Clone, Debug, Default)]
pub(super) struct Coordinator {
    services: FastMap<Name, ServiceCoordinator>,
}

impl Coordinator {
    /// Applies a report of a node of the own failure domain. Returns the reply, if it wants one.
    pub fn apply_report(
        &mut self,
        now: TimeMs,
        from: &Name,
        report: ServiceReport,
        choice: &CoordinatorChoice,
        context: &CoordinatorContext,
    ) -> Option<ServiceReply> {
        let service = report.service.clone();
        let calls_service = report.calls_service;
        let state = self.state_of(&service);
        state.apply_report(now, from, report);
        if !calls_service {
            return None;
        }
        let snapshot = state.snapshot(now, &service, context);
        let targets = reachable_targets(&service, choice, context);
        if !state.should_reply(from, &snapshot, &targets, context.conf) {
            return None;
        }
        state.record_reply(now, from, &snapshot);
        Some(reply(&service, &snapshot))
    }

    /// Applies the load of another failure domain.
    pub fn apply_domain(&mut self, now: TimeMs, domain: &Name, load: ServiceLoad) {
        self.state_of(&load.service)
            .apply_domain(now, domain, &load);
    }

    /// Drops what is too old, and returns the messages that are due: loads for the coordinators of
    /// other failure domains, and replies to nodes whose last one is outdated.
    pub fn tick(
        &mut self,
        now: TimeMs,
        choice: &mut CoordinatorChoice,
        context: &CoordinatorContext,
    ) -> Vec<PeerLoadMessage> {
        self.services.retain(|_, state| state.expire(now));
        let mut outgoing = Vec::new();
        for (service, state) in &mut self.services {
            if !state.has_reports() || !choice.is_exchanged(service) {
                continue;
            }
            let snapshot = state.snapshot(now, service, context);
            let targets = reachable_targets(service, choice, context);
            for node in state.nodes_to_update(now, &snapshot) {
                if !state.should_reply(&node, &snapshot, &targets, context.conf) {
                    continue;
                }
                state.record_reply(now, &node, &snapshot);
                outgoing.push((node, LoadMessage::Reply(reply(service, &snapshot))));
            }
            let Some((_, own)) = snapshot.loads.first() else {
                continue;
            };
            let wants_loads = state.needs_loads(&snapshot, context.conf);
            if !(wants_loads || state.is_wanted()) || !state.sent.is_due(now, own) {
                continue;
            }
            state.sent.record_sent(now, *own);
            let load = ServiceLoad {
                service: service.clone(),
                load: *own,
                wants_loads,
            };
            let receivers = receivers(&load, state, choice, context);
            let messages = receivers
                .into_iter()
                .map(|receiver| (receiver, LoadMessage::Domain(load.clone())));
            outgoing.extend(messages);
        }
        outgoing
    }

    fn state_of(&mut self, service: &Name) -> &mut ServiceCoordinator {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(service) {
            let oldest = self
                .services
                .iter()
                .min_by_key(|(_, state)| state.last_used());
            if let Some(service) = oldest.map(|(service, _)| service.clone()) {
                self.services.remove(&service);
            }
        }
        self.services.entry(service.clone()).or_default()
    }
}

/// The coordinators of the other failure domains that need the own domain's load: all, if the own
/// domain needs theirs, and otherwise those that have asked for it.
///
/// Domains without a target are asked as well, because their demand takes room at the targets of
/// others. Loads of services that no domain needs are not sent, since bytes between domains are
/// expensive and most services are far from full.
fn receivers(
    load: &ServiceLoad,
    state: &ServiceCoordinator,
    choice: &mut CoordinatorChoice,
    context: &CoordinatorContext,
) -> Vec<Name> {
    let others = choice.domains().filter(|domain| {
        *domain != context.domain
            && !context.unreachable.contains(domain)
            && (load.wants_loads || state.is_wanted_by(domain))
    });
    let others: Vec<Name> = others.cloned().collect();
    let coordinators = others.iter();
    coordinators
        .filter_map(|domain| choice.coordinator(&load.service, domain))
        .collect()
}

/// The reachable failure domains with a target of the service.
fn reachable_targets(
    service: &str,
    choice: &CoordinatorChoice,
    context: &CoordinatorContext,
) -> Vec<Name> {
    let domains = choice.target_domains(service);
    let reachable = domains.filter(|domain| !context.unreachable.contains(domain));
    reachable.cloned().collect()
}

fn reply(service: &Name, snapshot: &Arc<LoadSnapshot>) -> ServiceReply {
    let domains = snapshot.loads.iter().enumerate();
    let domains = domains.map(|(at, (domain, load))| DomainFigures {
        domain_hash: domain_hash(domain),
        load: *load,
        share_permille: match at {
            0 => snapshot.split.kept_permille,
            _ => share_of(&snapshot.split, domain),
        },
    });
    ServiceReply {
        service: service.clone(),
        domains: domains.collect(),
    }
}

fn share_of(split: &DomainSplit, domain: &Name) -> u16 {
    let share = split.shares.iter().find(|share| share.domain == *domain);
    share.map_or(0, |share| share.permille)
}
