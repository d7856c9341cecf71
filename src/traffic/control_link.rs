//! Connects the request path of a node to its control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;

use crate::control::ControlHandle;
use crate::control::ControlHandlers;
use crate::control::ControlSettings;
use crate::core::Clock;
use crate::core::TargetState;
use crate::desired::StateFreshness;
use crate::desired::should_query_store;
use crate::membership::MembershipSettings;
use crate::store::EraWatch;
use crate::traffic::DesiredInForce;
use crate::traffic::TrafficSettings;
use crate::traffic::desired_task::AnnounceVersion;
use crate::traffic::desired_task::ConfirmVersion;
use crate::traffic::desired_task::ShouldPollStore;
use crate::traffic::own_service::OwnService;
use crate::traffic::peer_discovery::discovery_time_ms;
use crate::traffic::poison_watch::PoisonWatch;
use crate::traffic::poison_watch::apply_peer_report;
use crate::traffic::route_origins::RouteOriginUpdate;
use crate::traffic::route_origins::RouteOrigins;
use crate::traffic::traffic::Traffic;
use crate::traffic::version_fetch::VersionAnnouncement;

/// The settings of the control thread.
pub(super) fn control_settings(
    settings: &TrafficSettings,
    peer_address: SocketAddr,
    clock: Clock,
) -> ControlSettings {
    ControlSettings {
        node: settings.node.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        peer_address,
        control_address: settings.control_address,
        advertised_address: settings.control_address,
        seeds: Vec::new(),
        membership: MembershipSettings::default(),
        clock,
    }
}

/// The handlers of peers' requests and announcements.
pub(super) fn handlers(
    own_service: &Arc<OwnService>,
    desired: &Arc<DesiredInForce>,
    poison: &Arc<PoisonWatch>,
    origins: &Arc<RouteOrigins>,
    announcements: Sender<VersionAnnouncement>,
) -> ControlHandlers {
    let for_requests = desired.clone();
    let for_announcements = desired.clone();
    let origins = origins.clone();
    let (poison, own_service) = (poison.clone(), own_service.clone());
    ControlHandlers {
        report_suspects: Arc::new(move |report| {
            apply_peer_report(&poison, &own_service.current(), &report);
        }),
        config_above: Arc::new(move |above| for_requests.document_above(above)),
        newer_config: Arc::new(move |from, version, same_domain| {
            let announced = VersionAnnouncement {
                from,
                version,
                same_domain,
            };
            if version > for_announcements.version() && announcements.try_send(announced).is_err() {
                log::debug!(
                    "config: announcement dropped because the queue is full, version={version}"
                );
            }
        }),
        route_use: Arc::new(move |route, by| origins.learn_from_peer(route, by)),
        ..ControlHandlers::default()
    }
}

/// Builds the callback that decides whether this node polls the store now; see
/// [`should_query_store`].
pub(super) fn should_poll(traffic: &Arc<Traffic>, control: &Arc<ControlHandle>) -> ShouldPollStore {
    let (traffic, control) = (traffic.clone(), control.clone());
    let started = traffic.clock.now();
    Arc::new(move || {
        let settings = &traffic.settings;
        let now = traffic.clock.now();
        let known = StateFreshness {
            has_state: traffic.desired.version() > 0,
            since_discovery_ms: settings.is_first_start.then(|| {
                let discovery_time_ms = discovery_time_ms(settings.store_rates);
                now.since(started) as i64 - discovery_time_ms as i64
            }),
            last_contact_ms_ago: now.since(control.freshness.last_heard()),
            confirmed_ms_ago: now.since(control.freshness.last_confirmed()),
            keys_hold_ms: traffic.live().keys_hold_ms,
        };
        let view = traffic.view.load();
        should_query_store(
            &view,
            &settings.node,
            &settings.domain,
            known,
            fastrand::f64(),
        )
    })
}

/// Builds the callback that announces to all members that the store holds nothing newer.
pub(super) fn confirm_version(control: &Arc<ControlHandle>) -> ConfirmVersion {
    let control = control.clone();
    Arc::new(move |version| control.confirm_config_version(version))
}

/// Builds the callback that announces to all members which version is in force here.
pub(super) fn announce_version(control: &Arc<ControlHandle>) -> AnnounceVersion {
    let control = control.clone();
    Arc::new(move |version| control.set_config_version(version))
}

/// Announces the status of the local backend server to all members, at each change.
pub(super) async fn announce_local(control: Arc<ControlHandle>, traffic: Arc<Traffic>) {
    let mut status = traffic.local_status.subscribe();
    loop {
        let local = status.borrow_and_update().clone();
        let state = if traffic.is_leaving.load(Ordering::Relaxed) {
            TargetState::Draining
        } else {
            local.state
        };
        control.announce(&local.service, local.slots, state);
        if status.changed().await.is_err() {
            return;
        }
    }
}

/// Announces the origin of each route to all members, once this node has detected it.
pub(super) async fn announce_routes(
    control: Arc<ControlHandle>,
    mut updates: Receiver<RouteOriginUpdate>,
) {
    while let Some((route, by)) = updates.recv().await {
        control.announce_route_use(route, by);
    }
}

/// Builds the handler that records an era of the store announced by another member.
pub(super) fn era_handler(eras: &EraWatch) -> Arc<dyn Fn(u64) + Send + Sync> {
    let eras = eras.clone();
    Arc::new(move |era| {
        eras.observe(era);
    })
}

/// Announces each new era of the store to all members. Nodes that do not poll the store need it to
/// write rows again that the store has lost.
pub(super) async fn announce_eras(control: Arc<ControlHandle>, eras: EraWatch) {
    let mut newest = eras.subscribe();
    while newest.changed().await.is_ok() {
        let era = *newest.borrow_and_update();
        control.raise_store_era(era.unwrap_or_default());
    }
}
