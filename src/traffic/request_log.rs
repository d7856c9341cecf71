//! Logs how requests ended, and why.
//!
//! Failures are logged up to a rate limit. Of successes, a sample is logged
//! ([`crate::logging::is_sampled`]), the same requests at entry and guard.

use http::HeaderValue;
use http::StatusCode;

use crate::accounts::Allowance;
use crate::accounts::AllowanceExceeded;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::TimeMs;
use crate::logging::SAMPLED;
use crate::logging::is_sampled;
use crate::traffic::attempt::AttemptEnd;
use crate::traffic::call::Call;
use crate::traffic::call::GuardedCall;
use crate::traffic::call::Progress;
use crate::traffic::traffic::Traffic;
use crate::wire::CallAccount;

/// Logs a sampled request, or one that failed. Other requests are not logged.
macro_rules! log_outcome {
    ($is_sampled:expr, $has_failed:expr, $($message:tt)+) => {
        match ($is_sampled, $has_failed) {
            (true, _) => log::info!(target: SAMPLED, $($message)+),
            (false, true) => log::info!($($message)+),
            (false, false) => {}
        }
    };
}

/// The details of a request at its entry.
#[derive(Clone, Debug)]
pub(super) struct EntryLog {
    id: Option<HeaderValue>,
    started_us: u64,
    is_sampled: bool,
    route: Option<Name>,
    service: Option<Name>,
    account: Option<Name>,
    deadline: Option<TimeMs>,
}

impl EntryLog {
    /// Starts the log of a request that has arrived.
    pub(super) fn new(traffic: &Traffic, id: Option<HeaderValue>) -> Self {
        Self {
            is_sampled: is_sampled(text_of(id.as_ref())),
            id,
            started_us: traffic.clock.now_us(),
            route: None,
            service: None,
            account: None,
            deadline: None,
        }
    }

    /// The identifier that the caller gave the request.
    pub(super) fn id(&self) -> Option<HeaderValue> {
        self.id.clone()
    }

    /// The name of its route, once the request is classified.
    pub(super) fn route(&self) -> Option<&Name> {
        self.route.as_ref()
    }

    /// When the request arrived, in microseconds.
    pub(super) fn started_us(&self) -> u64 {
        self.started_us
    }

    /// Adds the details of the classified request.
    pub(super) fn classified(&mut self, call: &Call) {
        self.route = Some(call.route.clone());
        self.service = Some(call.service.clone());
        self.account = call.account.as_ref().map(|account| account.name.clone());
        self.deadline = Some(call.deadline);
    }

    /// Logs the answer of a backend server.
    pub(super) fn answered(&self, traffic: &Traffic, status: StatusCode, progress: &Progress) {
        let has_failed = status.is_server_error();
        if !self.is_sampled && !has_failed {
            return;
        }
        let trace = progress.trace();
        log_outcome!(
            self.is_sampled,
            has_failed,
            "entry: answered, request={} route={} service={} account={} status={} took_ms={} \
             attempts={} target={} config={}",
            text_of(self.id.as_ref()),
            or_dash(self.route.as_ref()),
            or_dash(self.service.as_ref()),
            or_dash(self.account.as_ref()),
            status.as_u16(),
            self.took_ms(traffic),
            trace.attempts,
            or_dash(trace.target.as_ref()),
            traffic.desired.version(),
        );
    }

    /// Logs a refusal.
    pub(super) fn refused(&self, traffic: &Traffic, refusal: &Refusal, progress: &Progress) {
        let trace = progress.trace();
        let left_ms = self
            .deadline
            .map_or(0, |deadline| deadline.since(traffic.clock.now()));
        log_outcome!(
            self.is_sampled,
            true,
            "entry: refused, request={} route={} service={} account={} reason={} outcome={} \
             retry_after_ms={} took_ms={} left_ms={left_ms} attempts={} target={} config={}{}",
            text_of(self.id.as_ref()),
            or_dash(self.route.as_ref()),
            or_dash(self.service.as_ref()),
            or_dash(self.account.as_ref()),
            refusal.reason.as_str(),
            refusal.run_state.as_str(),
            refusal.retry_after_ms,
            self.took_ms(traffic),
            trace.attempts,
            or_dash(trace.target.as_ref()),
            traffic.desired.version(),
            self.pressure(traffic),
        );
    }

    /// Logs a request that cannot be served, now or later.
    pub(super) fn rejected(&self, traffic: &Traffic, status: StatusCode) {
        log_outcome!(
            self.is_sampled,
            true,
            "entry: rejected, request={} status={} took_ms={} config={}",
            text_of(self.id.as_ref()),
            status.as_u16(),
            self.took_ms(traffic),
            traffic.desired.version(),
        );
    }

    /// The overloaded service downstream of the route, its pressure, and the share of requests
    /// admitted.
    fn pressure(&self, traffic: &Traffic) -> String {
        let (Some(service), Some(route)) = (&self.service, &self.route) else {
            return String::new();
        };
        match traffic.roots.overloaded_service_for(service, route) {
            Some(overloaded) => format!(
                " pressed={} pressure_permille={} admitted_percent={}",
                overloaded.service, overloaded.pressure_permille, overloaded.admitted_percent
            ),
            None => String::new(),
        }
    }

    fn took_ms(&self, traffic: &Traffic) -> u64 {
        (traffic.clock.now_us() - self.started_us) / 1_000
    }
}

/// The details of a call at its guard.
#[derive(Clone, Debug)]
pub(super) struct GuardLog {
    id: Option<HeaderValue>,
    is_sampled: bool,
    route: Name,
    arrived_us: u64,
    deadline: TimeMs,
}

impl GuardLog {
    /// Starts the log of a call that has arrived.
    pub(super) fn new(traffic: &Traffic, call: &GuardedCall) -> Self {
        let names = &traffic.settings.header_names;
        let id = call.message.headers.get(&names.request_id).cloned();
        Self {
            is_sampled: is_sampled(text_of(id.as_ref())),
            id,
            route: call.hop.route.clone(),
            arrived_us: traffic.clock.now_us(),
            deadline: call.deadline,
        }
    }

    /// Logs the outcome of the call.
    pub(super) fn ended(&self, traffic: &Traffic, end: &AttemptEnd) {
        match &end.result {
            Ok(answer) => self.ran(traffic, answer.status),
            Err(refusal) => self.refused(traffic, refusal, end.reached_backend),
        }
    }

    fn ran(&self, traffic: &Traffic, status: StatusCode) {
        let has_failed = status.is_server_error();
        if !self.is_sampled && !has_failed {
            return;
        }
        log_outcome!(
            self.is_sampled,
            has_failed,
            "guard: ran, request={} route={} status={} took_ms={} incarnation={}",
            text_of(self.id.as_ref()),
            self.route,
            status.as_u16(),
            self.took_ms(traffic),
            or_dash(traffic.local().incarnation()),
        );
    }

    fn refused(&self, traffic: &Traffic, refusal: &Refusal, reached_backend: bool) {
        let load = traffic.gate.load();
        let now = traffic.clock.now();
        log_outcome!(
            self.is_sampled,
            true,
            "guard: refused, request={} route={} reason={} outcome={} took_ms={} left_ms={} \
             reached_backend={reached_backend} queued={} in_flight={} limit={} wait_ms={} \
             failing_permille={} incarnation={}",
            text_of(self.id.as_ref()),
            self.route,
            refusal.reason.as_str(),
            refusal.run_state.as_str(),
            self.took_ms(traffic),
            self.deadline.since(now),
            load.queued,
            load.in_flight,
            load.limit,
            traffic.gate.expected_wait_ms(),
            traffic.failing_permille(now),
            or_dash(traffic.local().incarnation()),
        );
    }

    fn took_ms(&self, traffic: &Traffic) -> u64 {
        (traffic.clock.now_us() - self.arrived_us) / 1_000
    }
}

/// Logs a request that exceeds its account's allowance. The key is never logged.
pub(super) fn log_allowance_exceeded(
    traffic: &Traffic,
    account: &CallAccount,
    allowance: Allowance,
    exceeded: AllowanceExceeded,
) {
    let age = exceeded.reply_age_ms;
    let age = age.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
    log::info!(
        "account: beyond its allowance, account={} rate_per_s={} burst={} part_permille={} \
         told_ms_ago={age} config={}",
        account.name,
        allowance.rate_per_s,
        allowance.burst,
        exceeded.admitted_permille,
        traffic.desired.version(),
    );
}

/// Logs the start of a further attempt.
pub(super) fn log_retry(traffic: &Traffic, call: &Call, after: &Refusal, target: &str) {
    let names = &traffic.settings.header_names;
    let id = text_of(call.message.headers.get(&names.request_id));
    log_outcome!(
        is_sampled(id),
        true,
        "entry: tries again, request={id} route={} service={} after={} outcome={} target={target} \
         left_ms={}",
        call.route,
        call.service,
        after.reason.as_str(),
        after.run_state.as_str(),
        call.deadline.since(traffic.clock.now()),
    );
}

fn text_of(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

fn or_dash(name: Option<&Name>) -> &str {
    name.map_or("-", |name| name)
}
