//! Periodic tasks of a node.

use std::sync::Arc;
use std::time::Duration;

use crate::traffic::traffic::Traffic;

/// How often the admission gate is polled while calls wait.
const BUSY_GATE_POLL: Duration = Duration::from_millis(20);
/// How often the admission gate is polled while no call waits.
const IDLE_GATE_POLL: Duration = Duration::from_millis(100);
/// From this pressure on, a service that the backend server calls counts as the bottleneck.
const BOTTLENECK_PERMILLE: u32 = 900;
/// How often root admission is logged while requests are refused.
const ADMISSION_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How often idle connections that are not used again are closed.
const EXPIRED_CONNECTIONS_INTERVAL: Duration = Duration::from_secs(1);

fn update_downstream_pressure(traffic: &Traffic) {
    let running = traffic.running.all();
    let highest = traffic
        .roots
        .max_downstream_permille(traffic.clock.now(), &running);
    traffic
        .gate
        .set_downstream_overloaded(highest >= BOTTLENECK_PERMILLE);
}

/// Logs once a second the overloaded services for which requests are refused, the retry budgets in
/// use, and the queue of the guard while calls wait.
pub(super) async fn log_admission(traffic: Arc<Traffic>) {
    loop {
        tokio::time::sleep(ADMISSION_LOG_INTERVAL).await;
        traffic.roots.log_restricted();
        traffic.budgets.log_used(traffic.clock.now());
        let load = traffic.gate.load();
        if load.queued > 0 {
            log::info!(
                "guard: calls wait, queued={} in_flight={} limit={} pressure_permille={}",
                load.queued,
                load.in_flight,
                load.limit,
                traffic.gate.pressure_permille()
            );
        }
    }
}

/// Polls the admission gate, so waiting calls time out even without other events at the guard, and
/// applies the limits of a changed desired state.
pub(super) async fn poll_gate(traffic: Arc<Traffic>) {
    loop {
        traffic.apply_desired_limits();
        let is_busy = traffic.gate.load().queued > 0;
        let interval = if is_busy {
            BUSY_GATE_POLL
        } else {
            IDLE_GATE_POLL
        };
        tokio::time::sleep(interval).await;
        update_downstream_pressure(&traffic);
        traffic.gate.poll();
    }
}

/// Closes the idle connections to other nodes and to the backend server that have expired.
pub(super) async fn close_expired_connections(traffic: Arc<Traffic>) {
    loop {
        tokio::time::sleep(EXPIRED_CONNECTIONS_INTERVAL).await;
        traffic.peers.close_expired();
        traffic.backend.close_expired();
    }
}
