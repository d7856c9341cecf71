//! A planned stop: the node refuses new work, finishes calls in flight and then leaves.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::node::Node;
use crate::node::NodeProcess;

/// How often the calls in flight are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum time for which the node continues to serve, so that the stop becomes known to
/// callers and other nodes.
const MIN_DRAIN: Duration = Duration::from_millis(1_500);
/// How long no call must have been in flight, so that the last answers have left the sockets.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// The maximum time for handing over keys, in milliseconds. Without the table it is impossible, and
/// the other nodes take over after the lease expires.
const MAX_LEAVE_MS: u64 = 5_000;

impl NodeProcess {
    /// Performs a planned stop: refuses new work at the guard, notifies the other nodes, finishes
    /// calls in flight within the drain time-out of the settings, and leaves.
    ///
    /// Calls of callers that still arrive are forwarded to other targets, and their connections are
    /// closed after the answer, so that a stop interrupts no call.
    pub async fn stop(self) {
        let node = self.running.node.clone();
        node.drain();
        log::info!("node: draining, state=draining");
        let leave = async {
            if let Some(claims) = &node.inputs.claims {
                let wait_ms = MAX_LEAVE_MS.min(node.settings.drain_timeout_ms);
                claims.leave(wait_ms).await;
            }
        };
        // Keys are handed over first. Calls for them that arrive meanwhile still count as in
        // flight.
        tokio::join!(finish(&node), leave);
        log::info!("node: leaves, in_flight={}", node.calls_in_flight());
        let control = self.control.clone();
        if tokio::task::spawn_blocking(move || control.leave())
            .await
            .is_err()
        {
            log::error!("node: control thread could not be stopped");
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
