//! Joins accounts' allowances to the control thread: what is told among nodes, and the passing of time.

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
use crate::traffic::allowances::Told;
use crate::traffic::traffic::Traffic;

/// How often what is due is looked for.
const LOOK: Duration = Duration::from_millis(100);

/// How often metrics of accounts are set.
const SHOW: Duration = Duration::from_secs(5);

/// Hands what others tell to [`keep_allowances`].
pub(super) fn take_allowances(waiting: Sender<Told>) -> AllowancesHandler {
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
    let mut shows = interval(SHOW);
    shows.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = told.recv() => match message {
                Some((from, message)) => take(&traffic, &control, &from, message),
                None => return,
            },
            _ = looks.tick() => look(&traffic, &control),
            _ = shows.tick() => show(&traffic),
        }
    }
}

/// Shows the busiest accounts by name, and all others together.
fn show(traffic: &Traffic) {
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

fn take(traffic: &Traffic, control: &ControlHandle, from: &Name, message: AllowanceMessage) {
    let now = traffic.clock.now();
    let view = traffic.view.load();
    if let Some((to, answer)) = traffic.allowances.take(now, &view, from, message) {
        control.send_allowances(to, answer);
    }
}

fn look(traffic: &Traffic, control: &ControlHandle) {
    let Some(in_force) = traffic.desired.load() else {
        return;
    };
    let now = traffic.clock.now();
    let view = traffic.view.load();
    for (to, message) in traffic.allowances.tick(now, &view, &in_force) {
        control.send_allowances(to, message);
    }
}
