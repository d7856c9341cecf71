//! A planned stop: callers are sent elsewhere, what is in progress is finished, then the node
//! leaves.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::core::TargetState;
use crate::traffic::TrafficProcess;

/// How long the node is still told to others as one that takes calls: its backend server works on,
/// and its slots would be missing for the whole stop.
const DRAINING_ANNOUNCED_AFTER: Duration = Duration::from_millis(1_400);
/// How long the guard goes on taking calls: until other nodes have heard that it stops.
const GUARD_CLOSED_AFTER: Duration = Duration::from_millis(2_200);
/// How long the entry goes on taking requests: until readiness has been asked for twice and callers
/// go elsewhere. Those that come still are refused, for they could not be finished any more.
const ENTRY_CLOSED_AFTER: Duration = Duration::from_millis(2_900);
/// For how long nothing must have been in progress, so that the last answers have left.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(250);
/// How often requests in progress are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

impl TrafficProcess {
    /// Stops as planned, within the time of the settings.
    pub async fn stop(self) {
        log::info!("node: stops");
        let started = Instant::now();
        let deadline = started + Duration::from_millis(self.traffic.live().stop_within_ms);
        self.traffic.stopping.send_replace(true);
        sleep(DRAINING_ANNOUNCED_AFTER).await;
        self.traffic.is_leaving.store(true, Ordering::Relaxed);
        self.control.set_state(TargetState::Draining);
        sleep(GUARD_CLOSED_AFTER - DRAINING_ANNOUNCED_AFTER).await;
        self.traffic.guard_closed.send_replace(true);
        sleep(ENTRY_CLOSED_AFTER.saturating_sub(started.elapsed())).await;
        self.traffic.entry_closed.store(true, Ordering::Relaxed);
        self.finish(started, deadline).await;
        log::info!(
            "node: leaves, in_progress={}",
            self.traffic.requests_in_progress()
        );
        let control = self.control.clone();
        if tokio::task::spawn_blocking(move || control.leave())
            .await
            .is_err()
        {
            log::error!("node: the control thread could not be stopped");
        }
    }

    async fn finish(&self, started: Instant, deadline: Instant) {
        let mut last_busy = started;
        loop {
            let now = Instant::now();
            if self.traffic.requests_in_progress() > 0 {
                last_busy = now;
            }
            let is_quiet =
                now - last_busy >= IDLE_BEFORE_EXIT && now - started >= ENTRY_CLOSED_AFTER;
            if is_quiet || now >= deadline {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
