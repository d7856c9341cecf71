//! The load coordinator of a failure domain, for the services that fall to this node.

use std::sync::Arc;

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::membership::domain_hash;
use crate::placement::CoordinatorChoice;
use crate::placement::DomainFigures;
use crate::placement::DomainSplit;
use crate::placement::LoadFigures;
use crate::placement::LoadMessage;
use crate::placement::PeerLoadMessage;
use crate::placement::ServiceLoad;
use crate::placement::ServiceReply;
use crate::placement::ServiceReport;
use crate::placement::service_coordinator::LoadPicture;
use crate::placement::service_coordinator::ServiceCoordinator;
use crate::placement::surroundings::Surroundings;

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
        surroundings: &Surroundings,
    ) -> Option<ServiceReply> {
        let service = report.service.clone();
        let wants_reply = report.wants_reply;
        let state = self.state_of(&service);
        state.apply_report(now, from, report);
        if !wants_reply {
            return None;
        }
        let picture = state.picture(now, &service, surroundings);
        state.record_reply(now, from, &picture);
        Some(reply(&service, &picture))
    }

    /// Applies the load of another failure domain.
    pub fn apply_domain(&mut self, now: TimeMs, domain: &Name, load: ServiceLoad) {
        self.state_of(&load.service)
            .apply_domain(now, domain, load.load);
    }

    /// Drops what is too old, and returns the messages that are due: loads for the coordinators of
    /// other failure domains, and replies to nodes whose last one is outdated.
    pub fn tick(
        &mut self,
        now: TimeMs,
        choice: &mut CoordinatorChoice,
        surroundings: &Surroundings,
    ) -> Vec<PeerLoadMessage> {
        self.services.retain(|_, state| state.expire(now));
        let mut outgoing = Vec::new();
        for (service, state) in &mut self.services {
            if !state.has_reports() || !choice.is_exchanged(service) {
                continue;
            }
            let picture = state.picture(now, service, surroundings);
            for node in state.nodes_to_update(now, &picture) {
                state.record_reply(now, &node, &picture);
                outgoing.push((node, LoadMessage::Reply(reply(service, &picture))));
            }
            let Some((_, own)) = picture.loads.first() else {
                continue;
            };
            if state.sent.is_due(now, own) {
                state.sent.record_sent(now, *own);
                let receivers = receivers(now, service, state, choice, surroundings);
                send_load(service, *own, &receivers, &mut outgoing);
            }
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

/// The coordinators of the other failure domains that need the own domain's load.
///
/// A domain needs it if it has a target of the service, or if its entries call the service, which
/// its own messages show. Domains without a target would not learn of each other in this way, so a
/// domain without a target sends its load to all.
fn receivers(
    now: TimeMs,
    service: &Name,
    state: &ServiceCoordinator,
    choice: &mut CoordinatorChoice,
    surroundings: &Surroundings,
) -> Vec<Name> {
    let is_for_all = !choice.has_target(service, surroundings.domain);
    let needs_load = |domain: &Name| {
        is_for_all || choice.has_target(service, domain) || state.hears(now, domain)
    };
    let others = choice.domains().filter(|domain| {
        *domain != surroundings.domain
            && !surroundings.unreachable.contains(domain)
            && needs_load(domain)
    });
    let others: Vec<Name> = others.cloned().collect();
    let coordinators = others.iter();
    coordinators
        .filter_map(|domain| choice.coordinator(service, domain))
        .collect()
}

fn send_load(
    service: &Name,
    load: LoadFigures,
    receivers: &[Name],
    outgoing: &mut Vec<PeerLoadMessage>,
) {
    for receiver in receivers {
        let message = LoadMessage::Domain(ServiceLoad {
            service: service.clone(),
            load,
        });
        outgoing.push((receiver.clone(), message));
    }
}

fn reply(service: &Name, picture: &Arc<LoadPicture>) -> ServiceReply {
    let domains = picture.loads.iter().enumerate();
    let domains = domains.map(|(at, (domain, load))| DomainFigures {
        domain_hash: domain_hash(domain),
        load: *load,
        share_permille: match at {
            0 => picture.split.kept_permille,
            _ => share_of(&picture.split, domain),
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
