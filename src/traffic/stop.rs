//! A planned stop: callers move to other nodes, requests in progress finish, then the node leaves.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::core::TargetState;
use crate::traffic::RetryHandover;
use crate::traffic::TrafficProcess;

/// How long the node still announces that it accepts calls: its backend server continues to work,
/// and its slots would otherwise be missing during the whole stop.
const DRAINING_ANNOUNCED_AFTER: Duration = Duration::from_millis(1_400);
/// How long the guard accepts calls: until other nodes have learned that it is stopping.
const GUARD_CLOSED_AFTER: Duration = Duration::from_millis(2_200);
/// How long the entry accepts requests: until readiness was checked twice and callers use other
/// nodes. Later requests are refused, because they could not be finished in time.
const ENTRY_CLOSED_AFTER: Duration = Duration::from_millis(2_900);
/// How long no request must have been in progress before the node exits.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(250);
/// How long the node waits for the store before it exits, within the time limit of the stop. Its
/// successor uses less of its retry budget if the store does not answer.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long before the exit calls that wait for admission are refused. Guards refuse them, and know
/// that they did not run, so the refusal has to come back and be read by the caller.
const ADMISSION_ENDS_BEFORE_EXIT: Duration = Duration::from_millis(500);
/// How long before the exit the remaining calls are answered, so that callers get an answer and not
/// a broken connection.
const CALLS_END_BEFORE_EXIT: Duration = Duration::from_millis(200);
/// How often requests in progress are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

impl TrafficProcess {
    /// Performs a planned stop within the time limit of the settings.
    pub async fn stop(self) {
        log::info!("node: stops");
        let started = Instant::now();
        let deadline = started + Duration::from_millis(self.traffic.live().stop_within_ms);
        self.limit_waits();
        self.traffic.stopping.send_replace(true);
        sleep(DRAINING_ANNOUNCED_AFTER).await;
        self.traffic.is_leaving.store(true, Ordering::Relaxed);
        self.control.set_state(TargetState::Draining);
        sleep(GUARD_CLOSED_AFTER - DRAINING_ANNOUNCED_AFTER).await;
        self.traffic.guard_closed.send_replace(true);
        sleep(ENTRY_CLOSED_AFTER.saturating_sub(started.elapsed())).await;
        self.traffic.entry_closed.store(true, Ordering::Relaxed);
        self.finish(started, deadline - HANDOVER_TIMEOUT).await;
        tokio::join!(
            self.finish_or_end_calls(started, deadline),
            self.hand_over_retries()
        );
        log::info!(
            "node: leaves, in_progress={} unsent={}",
            self.traffic.requests_in_progress(),
            self.traffic.unsent_answers()
        );
        let control = self.control.clone();
        if tokio::task::spawn_blocking(move || control.leave())
            .await
            .is_err()
        {
            log::error!("node: control thread could not be stopped");
        }
    }

    /// Sets the time until which calls may wait for admission. Guards of other nodes get it with
    /// each call from now on.
    fn limit_waits(&self) {
        let traffic = &self.traffic;
        let before_exit_ms = ADMISSION_ENDS_BEFORE_EXIT.as_millis() as u64;
        let wait_ms = traffic.live().stop_within_ms.saturating_sub(before_exit_ms);
        // A process stops once.
        let _ = traffic.admission_ends_at.set(traffic.clock.now() + wait_ms);
    }

    /// Like [`Self::finish`], and answers the calls that are still in progress shortly before
    /// `deadline`.
    async fn finish_or_end_calls(&self, started: Instant, deadline: Instant) {
        let end = deadline - CALLS_END_BEFORE_EXIT;
        let finishing = self.finish(started, deadline);
        if timeout_at(end, finishing).await.is_err() {
            self.traffic.calls_ended.send_replace(true);
            self.finish(started, deadline).await;
        }
    }

    /// Leaves the retries of the last window to the successor, if the store answers in time.
    async fn hand_over_retries(&self) {
        let traffic = &self.traffic;
        let Some(retries) = traffic.budgets.close(traffic.clock.now()) else {
            return;
        };
        let mut is_handed_over = traffic.is_handed_over.subscribe();
        traffic
            .retry_handover
            .send_replace(Some(RetryHandover::now(retries)));
        let written = is_handed_over.wait_for(|is_handed_over| *is_handed_over);
        if timeout(HANDOVER_TIMEOUT, written).await.is_err() {
            log::info!("node: retries not handed over, the store does not answer in time");
        }
    }

    /// Waits until no request is in progress and all answers were sent, or until `deadline`.
    async fn finish(&self, started: Instant, deadline: Instant) {
        let mut last_busy = started;
        loop {
            let now = Instant::now();
            if self.traffic.requests_in_progress() > 0 || self.traffic.unsent_answers() > 0 {
                last_busy = now;
            }
            let is_idle =
                now - last_busy >= IDLE_BEFORE_EXIT && now - started >= ENTRY_CLOSED_AFTER;
            if is_idle || now >= deadline {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
