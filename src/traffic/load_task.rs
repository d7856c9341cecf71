//! Connects the exchange of loads to the control thread: messages among nodes, and timers.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::control::ControlHandle;
use crate::control::LoadsHandler;
use crate::core::Name;
use crate::placement::KnownFleet;
use crate::placement::LoadMessage;
use crate::placement::LocalTarget;
use crate::placement::PeerLoadMessage;
use crate::traffic::traffic::Traffic;

/// How often due work is performed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Passes messages of other nodes to [`run_loads`].
pub(super) fn loads_handler(waiting: Sender<PeerLoadMessage>) -> LoadsHandler {
    Arc::new(move |from: &Name, message: LoadMessage| {
        if waiting.try_send((from.clone(), message)).is_err() {
            log::debug!("placement: load message dropped because the queue is full, from={from}");
        }
    })
}

/// Runs on the control thread until the process ends.
pub(super) async fn run_loads(
    traffic: Arc<Traffic>,
    control: Arc<ControlHandle>,
    mut incoming: Receiver<PeerLoadMessage>,
) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let outgoing = tokio::select! {
            message = incoming.recv() => match message {
                Some((from, message)) => handle(&traffic, &from, message),
                None => return,
            },
            _ = ticks.tick() => tick(&traffic),
        };
        for (to, message) in outgoing {
            control.send_loads(to, message);
        }
    }
}

fn handle(traffic: &Traffic, from: &Name, message: LoadMessage) -> Vec<PeerLoadMessage> {
    let now = traffic.clock.now();
    let view = traffic.view.load();
    let fleet = KnownFleet {
        view: &view,
        unreachable: &traffic.targets.avoided_domains(&view, now),
    };
    traffic.placements.handle(now, fleet, from, message)
}

fn tick(traffic: &Traffic) -> Vec<PeerLoadMessage> {
    let now = traffic.clock.now();
    let view = traffic.view.load();
    let fleet = KnownFleet {
        view: &view,
        unreachable: &traffic.targets.avoided_domains(&view, now),
    };
    let target = local_target(traffic);
    traffic.placements.tick(now, fleet, target)
}

/// The backend server, while it accepts work.
fn local_target(traffic: &Traffic) -> Option<LocalTarget> {
    let service = {
        let local = traffic.local();
        let service = local.service()?;
        local.accepting_incarnation(service)?;
        service.clone()
    };
    let figures = traffic.gate.target_figures();
    Some(LocalTarget { service, figures })
}
