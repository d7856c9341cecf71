//! Forwards a call: chooses a target, sends the call, and retries if allowed.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::adapters::WholeAnswer;
use crate::admission::Pressure;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RetryReason;
use crate::core::RouteOrigin;
use crate::core::Target;
use crate::node::targets::CallToPlace;
use crate::node::targets::ReportedPressure;
use crate::retry::AttemptFailure;
use crate::retry::RetryContext;
use crate::retry::retry_reason;
use crate::routing::Pick;
use crate::routing::TargetPressure;
use crate::traffic::account_check::check_account;
use crate::traffic::attempt::AttemptEnd;
use crate::traffic::attempt::GuardStatus;
use crate::traffic::call::Call;
use crate::traffic::call::Progress;
use crate::traffic::guard;
use crate::traffic::hop;
use crate::traffic::in_flight::InFlightAttempt;
use crate::traffic::request_log::log_retry;
use crate::traffic::traffic::Traffic;

/// Retry-after when no target accepts work, in milliseconds.
const NO_TARGET_RETRY_AFTER_MS: u64 = 400;
/// How long a call waits for a first target to become known, in milliseconds. A node that has just
/// started learns of all targets by gossip within this time.
const FIRST_TARGET_WAIT_MS: u64 = 1_000;
/// How often the view is polled for a first target, in milliseconds.
const FIRST_TARGET_POLL_MS: u64 = 50;
/// From this length in bytes on, a body counts as large when a target in another failure domain is
/// considered.
const LARGE_BODY_BYTES: usize = 16 * 1024;
/// Maximum number of targets tried, including those that were never sent the call: each costs a
/// round trip.
const MAX_TARGETS_TRIED: usize = 6;

/// Forwards a call until it is answered, refused, its deadline has passed, or this node exits.
///
/// # Errors
/// Returns the refusal for the caller.
pub(super) async fn forward(
    traffic: &Arc<Traffic>,
    call: Call,
    progress: &Progress,
) -> Result<WholeAnswer, Refusal> {
    let left_ms = call.deadline.since(traffic.clock.now());
    let mut calls_ended = traffic.calls_ended.subscribe();
    let answering = run_attempts(traffic, &call, progress);
    let reason = tokio::select! {
        answered = timeout(Duration::from_millis(left_ms), answering) => match answered {
            Ok(result) => {
                return result.map_err(|refusal| progress.with_earlier_attempts(refusal));
            }
            Err(_) => RefusalReason::DeadlineExceeded,
        },
        _ = calls_ended.wait_for(|is_ended| *is_ended) => RefusalReason::Draining,
    };
    // The attempt's future has been dropped, so an attempt that is unsent remains so.
    if progress.cancel_unsent() && !progress.may_have_run() {
        Err(Refusal::not_run(reason, no_target_retry_after_ms()))
    } else {
        Err(Refusal::unknown(reason, 0))
    }
}

async fn run_attempts(
    traffic: &Arc<Traffic>,
    call: &Call,
    progress: &Progress,
) -> Result<WholeAnswer, Refusal> {
    let mut tried: Vec<Name> = Vec::new();
    let mut last: Option<Refusal> = None;
    let mut sends = 0;
    record_first_attempt(traffic, call);
    wait_for_first_target(traffic, call).await;
    loop {
        check_account(traffic, call.account.as_ref())?;
        let Some(target) = choose_target(traffic, call, &tried) else {
            return Err(last.unwrap_or_else(no_target));
        };
        progress.start_attempt(&target.node);
        let end = attempt(traffic, call, &target, progress).await;
        if end.reached_backend {
            sends += 1;
            progress.mark_reached_backend();
        }
        let refusal = match end.result {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        progress.end_attempt(refusal.run_state);
        tried.push(target.node.clone());
        let Some(reason) = next_attempt(traffic, call, refusal, &tried, sends) else {
            return Err(refusal);
        };
        traffic.metrics.count_retry(reason);
        log_retry(traffic, call, &refusal, &target.node);
        last = Some(refusal);
    }
}

fn record_first_attempt(traffic: &Traffic, call: &Call) {
    let now = traffic.clock.now();
    let repeated = f32::from(call.repeated_permille) / 1_000.0;
    let view = traffic.view.load();
    traffic
        .budgets
        .record_first_attempt(now, &view, &call.service, repeated);
    traffic.placements.record_first_attempt(&call.service);
}

/// Waits until a target of the call's service is known.
///
/// Without the wait a node refuses all calls after each restart until gossip has delivered a
/// first target.
async fn wait_for_first_target(traffic: &Traffic, call: &Call) {
    let give_up_at = traffic.clock.now() + FIRST_TARGET_WAIT_MS;
    while traffic.view.load().targets(&call.service).is_empty() {
        if traffic.clock.now() >= give_up_at {
            return;
        }
        sleep(Duration::from_millis(FIRST_TARGET_POLL_MS)).await;
    }
}

fn choose_target(traffic: &Traffic, call: &Call, tried: &[Name]) -> Option<Arc<Target>> {
    let view = traffic.view.load();
    let now = traffic.clock.now();
    let domain = &traffic.settings.domain;
    let is_large = call.message.body.len() >= LARGE_BODY_BYTES;
    // Only first attempts follow the split; further ones need no access to the shared table.
    let is_first = tried.is_empty();
    let placement = is_first.then(|| traffic.placements.current(now, &call.service));
    let placement = placement.flatten();
    let to_place = CallToPlace {
        service: &call.service,
        own_domain: domain,
        tried,
        is_large,
        placement: placement.as_deref(),
    };
    let (picked, reason) = traffic.targets.take(&view, &to_place, now);
    let Pick::Take(target) = picked else {
        return None;
    };
    if let Some(reason) = reason.filter(|_| is_first) {
        traffic.metrics.placement.count_call(&target.domain, reason);
    }
    Some(target)
}

async fn attempt(
    traffic: &Arc<Traffic>,
    call: &Call,
    target: &Target,
    progress: &Progress,
) -> AttemptEnd {
    let mut in_flight = InFlightAttempt::new(traffic.clone(), target.node.clone());
    let end = if target.node == traffic.settings.node {
        guard::run_own(traffic, call, target, progress).await
    } else {
        send_until_unreachable(traffic, call, target, progress).await
    };
    in_flight.ended(&end, &call.route);
    if let Some(guard_status) = &end.guard_status {
        let now = traffic.clock.now();
        let has_run = end.reached_backend && end.result.is_ok();
        traffic.advertisement_cache().update(
            now,
            &target.node,
            guard_status.advertisement.clone(),
            has_run,
        );
        let pressure = service_pressure(traffic, call, target, guard_status);
        let is_root = call.origin == Some(RouteOrigin::Callers);
        traffic
            .roots
            .record_answer(now, &call.service, &call.route, pressure.as_ref(), is_root);
        traffic.origins.learn(&call.route, guard_status.origin);
    }
    end
}

/// Sends a call, and ends the attempt if its target's failure domain becomes unreachable.
///
/// When a domain is cut off, connections into it stay open without traffic. Calls on them would
/// wait for their deadline, although targets on this side of the cut could still run them. A call
/// that must not run twice waits for its answer, unless nothing of it was sent yet.
async fn send_until_unreachable(
    traffic: &Arc<Traffic>,
    call: &Call,
    target: &Target,
    progress: &Progress,
) -> AttemptEnd {
    let sending = hop::send(traffic, call, target, progress);
    if target.domain == traffic.settings.domain {
        return sending.await;
    }
    let mut sending = pin!(sending);
    tokio::select! {
        end = &mut sending => return end,
        () = traffic.targets.wait_until_unreachable(&target.domain) => {}
    }
    if progress.cancel_unsent() {
        return hop::unsent_unreachable();
    }
    if call.repeatability.may_repeat() {
        return hop::lost_unreachable();
    }
    sending.await
}

/// The pressure to record for an answer. What a target reports of its own service is combined with
/// the reports of the service's other targets, and with the loads of other domains while calls are
/// sent away or a domain's demand is above `stay`. The pressure of a downstream service is used unchanged.
fn service_pressure(
    traffic: &Traffic,
    call: &Call,
    target: &Target,
    guard_status: &GuardStatus,
) -> Option<Pressure> {
    let mut pressure = guard_status.pressure.clone()?;
    if pressure.service == call.service {
        let view = traffic.view.load();
        let now = traffic.clock.now();
        let reported = TargetPressure {
            permille: pressure.permille,
            slots: target.slots,
        };
        let rate = guard_status
            .advertisement
            .as_ref()
            .and_then(|advertisement| advertisement.rate_milli);
        let placement = traffic.placements.current(now, &call.service);
        let report = ReportedPressure {
            service: &call.service,
            own_domain: &traffic.settings.domain,
            node: &target.node,
            pressure: reported,
            is_limited: rate.is_some(),
            placement: placement.as_deref(),
        };
        pressure.permille = traffic.targets.record_pressure(&view, &report, now);
    }
    Some(pressure)
}

/// Decides whether to try again. A retry after a backend server was sent the call is taken from the
/// service's retry budget. A retry after guards that refused without sending is not counted.
fn next_attempt(
    traffic: &Traffic,
    call: &Call,
    refusal: Refusal,
    tried: &[Name],
    sends: u32,
) -> Option<RetryReason> {
    if tried.len() >= MAX_TARGETS_TRIED || sends >= call.max_attempts {
        return None;
    }
    let now = traffic.clock.now();
    let view = traffic.view.load();
    let failure = AttemptFailure {
        reason: refusal.reason,
        run_state: refusal.run_state,
    };
    let context = RetryContext {
        non_idempotent: !call.repeatability.may_repeat(),
        body_is_held: true,
        room_elsewhere: traffic.targets.has_room(&view, &call.service, tried, now),
        deadline_left_ms: call.deadline.since(now),
    };
    let reason = retry_reason(failure, context)?;
    let is_within_budget = sends == 0 || traffic.budgets.try_retry(now, &call.service);
    is_within_budget.then_some(reason)
}

fn no_target() -> Refusal {
    Refusal::not_run(RefusalReason::NoTarget, no_target_retry_after_ms())
}

fn no_target_retry_after_ms() -> u64 {
    NO_TARGET_RETRY_AFTER_MS + fastrand::u64(..NO_TARGET_RETRY_AFTER_MS)
}
