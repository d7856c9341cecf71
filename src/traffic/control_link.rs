//! What joins the traffic of a node to its control thread.

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
use crate::traffic::desired_task::AsksStore;
use crate::traffic::desired_task::ConfirmVersion;
use crate::traffic::find_others::found_after_ms;
use crate::traffic::poison_watch::PoisonWatch;
use crate::traffic::poison_watch::take_report;
use crate::traffic::route_origins::KnownOrigins;
use crate::traffic::route_origins::RouteNews;
use crate::traffic::traffic::Traffic;
use crate::traffic::version_news::VersionNews;

/// What the control thread has to know of this node.
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

/// What peers may ask and tell.
pub(super) fn handlers(
    settings: &TrafficSettings,
    desired: &Arc<DesiredInForce>,
    poison: &Arc<PoisonWatch>,
    origins: &Arc<KnownOrigins>,
    news: Sender<VersionNews>,
) -> ControlHandlers {
    let asked = desired.clone();
    let held = desired.clone();
    let origins = origins.clone();
    let (poison, service) = (poison.clone(), settings.service.clone());
    ControlHandlers {
        report_suspects: Arc::new(move |news| take_report(&poison, &service, &news)),
        config_above: Arc::new(move |above| asked.document_above(above)),
        config_news: Arc::new(move |from, version, is_near| {
            let told = VersionNews {
                from,
                version,
                is_near,
            };
            if version > held.version() && news.try_send(told).is_err() {
                log::debug!("config: news were dropped, version={version}");
            }
        }),
        route_use: Arc::new(move |route, by| origins.take_news(route, by)),
        ..ControlHandlers::default()
    }
}

/// Whether this node asks the store now; see [`should_query_store`].
pub(super) fn asks(traffic: &Arc<Traffic>, control: &Arc<ControlHandle>) -> AsksStore {
    let (traffic, control) = (traffic.clone(), control.clone());
    let started = traffic.clock.now();
    Arc::new(move || {
        let settings = &traffic.settings;
        let now = traffic.clock.now();
        let known = StateFreshness {
            has_state: traffic.desired.version() > 0,
            since_discovery_ms: settings.is_first_start.then(|| {
                let found_after_ms = found_after_ms(settings.store_rates);
                now.since(started) as i64 - found_after_ms as i64
            }),
            last_contact_ms_ago: now.since(control.freshness.heard()),
            confirmed_ms_ago: now.since(control.freshness.confirmed()),
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

/// Tells all members that the store holds nothing newer.
pub(super) fn confirm_version(control: &Arc<ControlHandle>) -> ConfirmVersion {
    let control = control.clone();
    Arc::new(move |version| control.confirm_config_version(version))
}

/// Tells all members which version is in force here.
pub(super) fn announce_version(control: &Arc<ControlHandle>) -> AnnounceVersion {
    let control = control.clone();
    Arc::new(move |version| control.set_config_version(version))
}

/// Tells all members what is known of the local backend server, at each change.
pub(super) async fn announce_local(control: Arc<ControlHandle>, traffic: Arc<Traffic>) {
    let mut news = traffic.local_news.subscribe();
    loop {
        let local = news.borrow_and_update().clone();
        let state = if traffic.is_leaving.load(Ordering::Relaxed) {
            TargetState::Draining
        } else {
            local.state
        };
        control.announce(&local.service, local.slots, state);
        if news.changed().await.is_err() {
            return;
        }
    }
}

/// Tells all members who uses which route, as this node finds it out.
pub(super) async fn announce_routes(control: Arc<ControlHandle>, mut news: Receiver<RouteNews>) {
    while let Some((route, by)) = news.recv().await {
        control.announce_route_use(route, by);
    }
}

/// Takes in an era of the store that another member has seen.
pub(super) fn take_era(eras: &EraWatch) -> Arc<dyn Fn(u64) + Send + Sync> {
    let eras = eras.clone();
    Arc::new(move |era| {
        eras.take(era);
    })
}

/// Tells all members of each new era of the store, for nodes that do not ask it have to write again what it
/// has lost.
pub(super) async fn announce_eras(control: Arc<ControlHandle>, eras: EraWatch) {
    let mut newest = eras.subscribe();
    while newest.changed().await.is_ok() {
        let era = *newest.borrow_and_update();
        control.raise_store_era(era.unwrap_or_default());
    }
}
