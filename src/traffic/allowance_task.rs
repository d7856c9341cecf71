//! Joins accounts' allowances to the control thread: what is told among nodes, and the passing of time.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::accounts::AllowanceMessage;
use crate::control::ControlHandle;
use crate::control::TakeAllowances;
use crate::core::Name;
use crate::traffic::allowances::Told;
use crate::traffic::traffic::Traffic;

/// How often what is due is looked for.
const LOOK: Duration = Duration::from_millis(100);

/// Hands what others tell to [`keep_allowances`].
pub(super) fn take_allowances(waiting: Sender<Told>) -> TakeAllowances {
    Arc::new(move |from: &Name, message: AllowanceMessage| {
        if waiting.try_send((from.clone(), message)).is_err() {
            log::debug!("account: a message about allowances was dropped, from={from}");
        }
    })
}

/// Runs on the control thread for good.
pub(super) async fn keep_allowances(
    traffic: Arc<Traffic>,
    control: Arc<ControlHandle>,
    mut told: Receiver<Told>,
) {
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = told.recv() => match message {
                Some((from, message)) => take(&traffic, &control, &from, message),
                None => return,
            },
            _ = looks.tick() => look(&traffic, &control),
        }
    }
}

fn take(traffic: &Traffic, control: &ControlHandle, from: &Name, message: AllowanceMessage) {
    let now = traffic.clock.now();
    let view = traffic.view.load();
    if let Some((to, answer)) = traffic.allowances.take(now, &view, from, message) {
        control.tell_allowances(to, answer);
    }
}

fn look(traffic: &Traffic, control: &ControlHandle) {
    let Some(in_force) = traffic.desired.load() else {
        return;
    };
    let now = traffic.clock.now();
    let view = traffic.view.load();
    for (to, message) in traffic.allowances.tick(now, &view, &in_force) {
        control.tell_allowances(to, message);
    }
}
