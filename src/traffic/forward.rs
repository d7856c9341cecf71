//! Forwarding a call: choose a target, send, and perhaps try once more.

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
use crate::retry::AttemptFailure;
use crate::retry::RetryContext;
use crate::retry::retry_reason;
use crate::routing::Pick;
use crate::routing::TargetPressure;
use crate::traffic::account_check::check_account;
use crate::traffic::attempt::AttemptEnd;
use crate::traffic::attempt::GuardNews;
use crate::traffic::call::Call;
use crate::traffic::call::Progress;
use crate::traffic::guard;
use crate::traffic::hop;
use crate::traffic::in_flight::InFlightAt;
use crate::traffic::story::tell_retry;
use crate::traffic::traffic::Traffic;

/// When to come back when no target takes work, in milliseconds.
const NO_TARGET_RETRY_AFTER_MS: u64 = 400;
/// How long a call waits for a first target to become known, in milliseconds: a node that has just
/// started hears of all targets within this time.
const FIRST_TARGET_WAIT_MS: u64 = 1_000;
/// How often it looks.
const FIRST_TARGET_LOOK_MS: u64 = 50;
/// From this length on a body counts as large when it would cross between failure domains.
const LARGE_BODY_BYTES: usize = 16 * 1024;
/// Targets tried in vain at most, counting those that were never sent the call: each costs a round
/// trip.
const MOST_TRIED: usize = 6;

/// Forwards a call until it is answered, given up, or its deadline has come.
///
/// # Errors
/// The refusal to give to the caller.
pub(super) async fn forward(
    traffic: &Arc<Traffic>,
    call: Call,
    progress: &Progress,
) -> Result<WholeAnswer, Refusal> {
    let left_ms = call.deadline.since(traffic.clock.now());
    let answering = attempts(traffic, &call, progress);
    match timeout(Duration::from_millis(left_ms), answering).await {
        Ok(result) => result.map_err(|refusal| progress.of_all_attempts(refusal)),
        Err(_) if progress.is_in_doubt() => {
            Err(Refusal::unknown(RefusalReason::DeadlineExceeded, 0))
        }
        Err(_) => Err(Refusal::not_run(
            RefusalReason::DeadlineExceeded,
            no_target_ms(),
        )),
    }
}

async fn attempts(
    traffic: &Arc<Traffic>,
    call: &Call,
    progress: &Progress,
) -> Result<WholeAnswer, Refusal> {
    let mut tried: Vec<Name> = Vec::new();
    let mut last: Option<Refusal> = None;
    let mut sends = 0;
    note_first_attempt(traffic, call);
    wait_for_first_target(traffic, call).await;
    loop {
        check_account(traffic, call.account.as_ref())?;
        let Some(target) = choose(traffic, call, &tried) else {
            return Err(last.unwrap_or_else(no_target));
        };
        progress.begins(&target.node);
        let end = attempt(traffic, call, &target, progress).await;
        if end.reached_backend {
            sends += 1;
            progress.note_reached_backend();
        }
        let refusal = match end.result {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        progress.ended(refusal.run_state);
        tried.push(target.node.clone());
        let Some(reason) = next_attempt(traffic, call, refusal, &tried, sends) else {
            return Err(refusal);
        };
        traffic.metrics.count_retry(reason);
        tell_retry(traffic, call, &refusal, &target.node);
        last = Some(refusal);
    }
}

fn note_first_attempt(traffic: &Traffic, call: &Call) {
    let now = traffic.clock.now();
    let repeated = f32::from(call.repeated_permille) / 1_000.0;
    let view = traffic.view.load();
    traffic
        .budgets
        .first_attempt(now, &view, &call.service, repeated);
}

/// Guards against refusing everything for a moment after a start, before gossip has told of any
/// target. It shows as a burst of refusals after each restart of a node.
async fn wait_for_first_target(traffic: &Traffic, call: &Call) {
    let latest = traffic.clock.now() + FIRST_TARGET_WAIT_MS;
    while traffic.view.load().targets(&call.service).is_empty() {
        if traffic.clock.now() >= latest {
            return;
        }
        sleep(Duration::from_millis(FIRST_TARGET_LOOK_MS)).await;
    }
}

fn choose(traffic: &Traffic, call: &Call, tried: &[Name]) -> Option<Arc<Target>> {
    let view = traffic.view.load();
    let now = traffic.clock.now();
    let domain = &traffic.settings.domain;
    let is_large = call.message.body.len() >= LARGE_BODY_BYTES;
    match traffic
        .targets
        .take(&view, &call.service, domain, tried, is_large, now)
    {
        Pick::Take(target) => Some(target),
        Pick::NoneAvailable | Pick::Unknown => None,
    }
}

async fn attempt(
    traffic: &Arc<Traffic>,
    call: &Call,
    target: &Target,
    progress: &Progress,
) -> AttemptEnd {
    let mut in_flight = InFlightAt::new(traffic.clone(), target.node.clone());
    let end = if target.node == traffic.settings.node {
        guard::run_own(traffic, call, target, progress).await
    } else {
        send_within_reach(traffic, call, target, progress).await
    };
    in_flight.ended(&end, &call.route);
    if let Some(news) = &end.news {
        let now = traffic.clock.now();
        let has_run = end.reached_backend && end.result.is_ok();
        traffic
            .told_words()
            .note(now, &target.node, news.word.clone(), has_run);
        let pressure = service_pressure(traffic, call, target, news);
        let is_root = call.origin == Some(RouteOrigin::Callers);
        traffic
            .roots
            .note_answer(now, &call.service, &call.route, pressure.as_ref(), is_root);
        traffic.origins.take(&call.route, news.origin);
    }
    end
}

/// Sends a call, and gives the attempt up when its target's failure domain turns out to be out of
/// reach.
///
/// Guards against calls that were under way into a domain when it was cut off: their connections are
/// open and silent, so they would wait for their deadline, though their own side could still run
/// them. One that must not run twice has to wait for its answer all the same.
async fn send_within_reach(
    traffic: &Arc<Traffic>,
    call: &Call,
    target: &Target,
    progress: &Progress,
) -> AttemptEnd {
    let sending = hop::send(traffic, call, target, progress);
    if !call.repeatability.may_repeat() || target.domain == traffic.settings.domain {
        return sending.await;
    }
    tokio::select! {
        end = sending => end,
        () = traffic.targets.out_of_reach(&target.domain) => hop::lost_in_silence(),
    }
}

/// What one target says of itself counts as its part of the whole service; what it says of services
/// behind it holds as it is.
fn service_pressure(
    traffic: &Traffic,
    call: &Call,
    target: &Target,
    news: &GuardNews,
) -> Option<Pressure> {
    let mut pressure = news.pressure.clone()?;
    if pressure.service == call.service {
        let view = traffic.view.load();
        let now = traffic.clock.now();
        let told = TargetPressure {
            permille: pressure.permille,
            slots: target.slots,
        };
        let rate = news.word.as_ref().and_then(|word| word.rate_milli);
        pressure.permille = traffic.targets.note_pressure(
            &view,
            &call.service,
            &target.node,
            told,
            rate.is_some(),
            now,
        );
    }
    Some(pressure)
}

/// Decides on a further attempt. One after which a backend server gets the call a second time is
/// paid for out of the service's budget; a guard that refused without sending costs nothing.
fn next_attempt(
    traffic: &Traffic,
    call: &Call,
    refusal: Refusal,
    tried: &[Name],
    sends: u32,
) -> Option<RetryReason> {
    if tried.len() >= MOST_TRIED || sends >= call.max_attempts {
        return None;
    }
    let now = traffic.clock.now();
    let view = traffic.view.load();
    let failure = AttemptFailure {
        reason: refusal.reason,
        run_state: refusal.run_state,
    };
    let situation = RetryContext {
        non_idempotent: !call.repeatability.may_repeat(),
        body_is_held: true,
        room_elsewhere: traffic.targets.has_room(&view, &call.service, tried, now),
        deadline_left_ms: call.deadline.since(now),
    };
    let reason = retry_reason(failure, situation)?;
    let paid = sends == 0 || traffic.budgets.try_retry(now, &call.service);
    paid.then_some(reason)
}

fn no_target() -> Refusal {
    Refusal::not_run(RefusalReason::NoTarget, no_target_ms())
}

fn no_target_ms() -> u64 {
    NO_TARGET_RETRY_AFTER_MS + fastrand::u64(..NO_TARGET_RETRY_AFTER_MS)
}
