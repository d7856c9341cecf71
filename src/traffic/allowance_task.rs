//! Connects the allowances of accounts to the control thread: messages among nodes, and timers.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::accounts::AccountId;
use crate::accounts::AllowanceMessage;
use crate::control::AllowancesHandler;
use crate::control::ControlHandle;
use crate::core::FastMap;
use crate::core::Name;
use crate::traffic::allowances::PeerMessage;
use crate::traffic::traffic::Traffic;

/// How often due work is performed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How often the metrics of accounts are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);

/// Passes messages of other nodes to [`run_allowances`].
pub(super) fn allowance_handler(waiting: Sender<PeerMessage>) -> AllowancesHandler {
    Arc::new(move |from: &Name, message: AllowanceMessage| {
        if waiting.try_send((from.clone(), message)).is_err() {
            log::debug!(
                "account: allowance message dropped because the queue is full, from={from}"
            );
        }
    })
}

/// Runs on the control thread until the process ends.
pub(super) async fn run_allowances(
    traffic: Arc<Traffic>,
    control: Arc<ControlHandle>,
    mut incoming: Receiver<PeerMessage>,
) {
    let mut metric_updates = interval(METRICS_INTERVAL);
    metric_updates.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = incoming.recv() => match message {
                Some((from, message)) => handle(&traffic, &control, &from, message),
                None => return,
            },
            _ = ticks.tick() => send_due(&traffic, &control),
            _ = metric_updates.tick() => update_account_metrics(&traffic),
        }
    }
}

/// Sets the metrics of the busiest accounts by name, and of all others together.
fn update_account_metrics(traffic: &Traffic) {
    let in_force = traffic.desired.load();
    let accounts = in_force.iter().flat_map(|known| &known.state.accounts);
    let names = accounts.flatten().map(|account| &account.name);
    let names: FastMap<AccountId, &Name> = names.map(|name| (AccountId::of(name), name)).collect();
    let uses = traffic.allowances.uses(traffic.clock.now());
    let named = uses
        .iter()
        .filter_map(|each| Some((&***names.get(&each.account)?, *each)));
    traffic.metrics.set_accounts(named);
}

fn handle(traffic: &Traffic, control: &ControlHandle, from: &Name, message: AllowanceMessage) {
    let now = traffic.clock.now();
    let view = traffic.view.load();
    if let Some((to, reply)) = traffic.allowances.handle(now, &view, from, message) {
        control.send_allowances(to, reply);
    }
}

fn send_due(traffic: &Traffic, control: &ControlHandle) {
    let Some(in_force) = traffic.desired.load() else {
        return;
    };
    let now = traffic.clock.now();
    let view = traffic.view.load();
    for (to, message) in traffic.allowances.tick(now, &view, &in_force) {
        control.send_allowances(to, message);
    }
}
