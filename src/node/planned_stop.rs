//! A planned stop: no new work, what is in flight is finished, then the node leaves.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::node::Node;
use crate::node::NodeProcess;

/// How often the calls in flight are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the node serves on at least: callers and other nodes hear of the stop meanwhile.
const MIN_DRAIN: Duration = Duration::from_millis(1_500);
/// How long nothing must have been in flight, so that the last answers have left the sockets.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// How long handing over keys may take at most, in milliseconds. Without the table it cannot be
/// done at all, and the others take over after the lease.
const MAX_LEAVE_MS: u64 = 5_000;

impl NodeProcess {
    /// Stops as planned: refuses new work at the guard, tells the others, finishes what is in
    /// flight within the drain time-out of the settings, and leaves.
    ///
    /// Calls of callers that still arrive are forwarded to other targets, and their connections
    /// are closed after the answer, so that a stop cuts off none.
    pub async fn stop(self) {
        let node = self.running.node.clone();
        node.drain();
        log::info!("node: drains, state=draining");
        let leave = async {
            if let Some(claims) = &node.inputs.claims {
                let wait_ms = MAX_LEAVE_MS.min(node.settings.drain_timeout_ms);
                claims.leave(wait_ms).await;
            }
        };
        // Keys are handed over first: what arrives for them meanwhile still counts as in flight.
        tokio::join!(finish(&node), leave);
        log::info!("node: leaves, in_flight={}", node.calls_in_flight());
        let control = self.control.clone();
        if tokio::task::spawn_blocking(move || control.leave())
            .await
            .is_err()
        {
            log::error!("node: the control thread could not be stopped");
        }
    }
}

async fn finish(node: &Node) {
    let started = Instant::now();
    let latest = started + Duration::from_millis(node.settings.drain_timeout_ms);
    let mut last_busy = started;
    loop {
        let now = Instant::now();
        if node.calls_in_flight() > 0 {
            last_busy = now;
        }
        let is_quiet = now - last_busy >= QUIET_PERIOD && now - started >= MIN_DRAIN;
        if is_quiet || now >= latest {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}
