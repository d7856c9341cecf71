//! One node's part in the exchange of loads: it reports, and coordinates the services that fall to
//! it.

use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;
use crate::core::View;
use crate::placement::CoordinatorChoice;
use crate::placement::DomainLoad;
use crate::placement::DomainShare;
use crate::placement::DomainSplit;
use crate::placement::LoadMessage;
use crate::placement::LocalTarget;
use crate::placement::PlacementConf;
use crate::placement::ServicePlacement;
use crate::placement::ServiceReply;
use crate::placement::WHOLE_PERMILLE;
use crate::placement::coordinator::Coordinator;
use crate::placement::coordinator_context::CoordinatorContext;
use crate::placement::reporter::Reporter;
use crate::placement::service_coordinator::domain_load;

/// A message and its peer: the recipient of an outgoing one, the sender of an incoming one.
pub type PeerLoadMessage = (Name, LoadMessage);

/// What this node measures.
#[derive(Clone, Debug, Default)]
pub struct LocalLoad {
    /// First attempts of the entry since the last tick, by service.
    pub attempts: FastMap<Name, u32>,
    /// The backend server, while it accepts work.
    pub target: Option<LocalTarget>,
}

/// What this node knows of the others.
#[derive(Clone, Copy, Debug)]
pub struct KnownFleet<'a> {
    pub view: &'a View,
    /// The failure domains that cannot be reached from here, those of the view included.
    pub unreachable: &'a [Name],
}

/// The results of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExchangeStep {
    pub messages: Vec<PeerLoadMessage>,
    /// New placements of services, for [`crate::placement::PlacementTable::set`].
    pub placements: Vec<(Name, ServicePlacement)>,
}

/// The state of the exchange at one node.
#[derive(Clone, Debug)]
pub struct LoadExchange {
    node: Name,
    domain: Name,
    conf: PlacementConf,
    choice: CoordinatorChoice,
    reporter: Reporter,
    coordinator: Coordinator,
}

impl LoadExchange {
    /// Starts without any knowledge.
    pub fn new(node: Name, domain: Name, conf: PlacementConf) -> Self {
        Self {
            reporter: Reporter::new(node.clone()),
            node,
            domain,
            conf,
            choice: CoordinatorChoice::default(),
            coordinator: Coordinator::default(),
        }
    }

    /// Changes the configuration. The next split is computed with it.
    pub fn set_conf(&mut self, conf: PlacementConf) {
        self.conf = conf;
    }

    /// Performs the work that is due. To be called every 100 ms or so.
    pub fn tick(&mut self, now: TimeMs, fleet: KnownFleet, local: LocalLoad) -> ExchangeStep {
        self.choice.update(fleet.view);
        self.reporter.update(now, &local.attempts, local.target);
        let choice = &self.choice;
        let reports = self
            .reporter
            .due(now, |service| choice.is_exchanged(service));
        let mut step = ExchangeStep {
            placements: self.updated_placements(now),
            ..ExchangeStep::default()
        };
        for report in reports {
            let Some(to) = self.choice.coordinator(&report.service, &self.domain) else {
                continue;
            };
            if to != self.node {
                step.messages.push((to, LoadMessage::Report(report)));
                continue;
            }
            let own = self.node.clone();
            let context = context(&self.domain, self.conf, fleet);
            let reply = self
                .coordinator
                .apply_report(now, &own, report, &self.choice, &context);
            step.placements
                .extend(reply.and_then(|reply| self.placement(now, &reply)));
        }
        let context = context(&self.domain, self.conf, fleet);
        let outgoing = self.coordinator.tick(now, &mut self.choice, &context);
        for (to, message) in outgoing {
            match message {
                LoadMessage::Reply(reply) if to == self.node => {
                    step.placements.extend(self.placement(now, &reply));
                }
                message => step.messages.push((to, message)),
            }
        }
        step
    }

    /// Handles a message of another node. Messages of unknown nodes are ignored, and so are reports
    /// and replies from other failure domains.
    pub fn handle(
        &mut self,
        now: TimeMs,
        fleet: KnownFleet,
        from: &Name,
        message: LoadMessage,
    ) -> ExchangeStep {
        self.choice.update(fleet.view);
        let mut step = ExchangeStep::default();
        let Some(sender) = fleet.view.nodes.get(from) else {
            return step;
        };
        let is_near = sender.domain == self.domain;
        match message {
            LoadMessage::Report(report) if is_near => {
                let context = context(&self.domain, self.conf, fleet);
                let reply =
                    self.coordinator
                        .apply_report(now, from, report, &self.choice, &context);
                let reply = reply.map(|reply| (from.clone(), LoadMessage::Reply(reply)));
                step.messages.extend(reply);
            }
            LoadMessage::Reply(reply) if is_near => {
                step.placements.extend(self.placement(now, &reply));
            }
            LoadMessage::Domain(load) if !is_near => {
                self.coordinator.apply_domain(now, &sender.domain, load);
            }
            LoadMessage::Report(_) | LoadMessage::Reply(_) | LoadMessage::Domain(_) => {}
        }
        step
    }

    /// The placement in a reply. Domains that this node does not know are left out, and their
    /// shares stay.
    fn placement(&mut self, now: TimeMs, reply: &ServiceReply) -> Option<(Name, ServicePlacement)> {
        let mut kept_permille = WHOLE_PERMILLE;
        let mut shares = Vec::new();
        let mut loads: Vec<DomainLoad> = Vec::new();
        for figures in &reply.domains {
            let Some(domain) = self.choice.domain_of_hash(figures.domain_hash) else {
                continue;
            };
            loads.push(domain_load(domain, figures.load));
            if *domain == self.domain || figures.share_permille == 0 {
                continue;
            }
            // A reply whose shares sum to more than the whole is not usable.
            kept_permille = kept_permille.checked_sub(figures.share_permille)?;
            shares.push(DomainShare {
                domain: domain.clone(),
                permille: figures.share_permille,
            });
        }
        let split = DomainSplit {
            kept_permille,
            shares,
        };
        let placement = ServicePlacement::new(now, split, loads, self.conf);
        let change = self.reporter.record_reply(now, &reply.service, &placement);
        let placement = placement.at_changed_demand(&self.domain, change, self.conf);
        Some((reply.service.clone(), placement))
    }

    /// The placements by which calls leave the own domain, at its present demand.
    fn updated_placements(&self, now: TimeMs) -> Vec<(Name, ServicePlacement)> {
        let sending = self.reporter.sending_placements(now);
        let updated = sending.map(|(service, placement, change)| {
            let placement = placement.at_changed_demand(&self.domain, change, self.conf);
            (service.clone(), placement)
        });
        updated.collect()
    }
}

fn context<'a>(
    domain: &'a Name,
    conf: PlacementConf,
    fleet: KnownFleet<'a>,
) -> CoordinatorContext<'a> {
    CoordinatorContext {
        domain,
        view: fleet.view,
        unreachable: fleet.unreachable,
        conf,
    }
}
