//! What a node does now and then, whatever requests come.

use std::sync::Arc;
use std::time::Duration;

use crate::traffic::traffic::Traffic;

/// How often admission looks at the time while calls wait.
const BUSY_GATE_LOOK: Duration = Duration::from_millis(20);
/// The same while none waits.
const IDLE_GATE_LOOK: Duration = Duration::from_millis(100);
/// From this pressure on a service that the backend server calls counts as the bottleneck.
const DEEP_PRESSED_PERMILLE: u32 = 900;
/// How often admission of roots is logged while some are refused.
const ADMISSION_LOG: Duration = Duration::from_secs(1);

fn note_deep_pressure(traffic: &Traffic) {
    let running = traffic.running.all();
    let deepest = traffic
        .roots
        .deepest_permille(traffic.clock.now(), &running);
    traffic
        .gate
        .set_downstream_overloaded(deepest >= DEEP_PRESSED_PERMILLE);
}

/// What entries believe of pressure is said once a second while it has requests refused, and what
/// waits at the guard while anything does.
pub(super) async fn log_admission(traffic: Arc<Traffic>) {
    loop {
        tokio::time::sleep(ADMISSION_LOG).await;
        traffic.roots.log_closed();
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

/// Waiting calls give up in time also when nothing else happens at the guard, and a changed desired state bounds
/// what runs there.
pub(super) async fn poll_gate(traffic: Arc<Traffic>) {
    loop {
        traffic.follow_desired();
        let is_busy = traffic.gate.load().queued > 0;
        let look = if is_busy {
            BUSY_GATE_LOOK
        } else {
            IDLE_GATE_LOOK
        };
        tokio::time::sleep(look).await;
        note_deep_pressure(&traffic);
        traffic.gate.poll();
    }
}
