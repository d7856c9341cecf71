//! The lines of the log that tell how a request ended, and why.
//!
//! Failures are told up to a rate, successes for one request in some ([`crate::logging::is_sampled`]),
//! the same ones at entry and guard.

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

/// Writes a line at the level of a failure or a success; `None` where it is not to be written.
macro_rules! tell {
    ($is_sampled:expr, $has_failed:expr, $($message:tt)+) => {
        match ($is_sampled, $has_failed) {
            (true, _) => log::info!(target: SAMPLED, $($message)+),
            (false, true) => log::info!($($message)+),
            (false, false) => {}
        }
    };
}

/// What is known of a request at its entry.
#[derive(Clone, Debug)]
pub(super) struct EntryStory {
    id: Option<HeaderValue>,
    started_us: u64,
    is_sampled: bool,
    route: Option<Name>,
    service: Option<Name>,
    account: Option<Name>,
    deadline: Option<TimeMs>,
}

impl EntryStory {
    /// A request has arrived.
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

    /// The identifier that the caller gave it.
    pub(super) fn id(&self) -> Option<HeaderValue> {
        self.id.clone()
    }

    /// The name of its route, once it was taken in.
    pub(super) fn route(&self) -> Option<&Name> {
        self.route.as_ref()
    }

    /// When it arrived, in microseconds.
    pub(super) fn started_us(&self) -> u64 {
        self.started_us
    }

    /// It was taken in and classified.
    pub(super) fn taken(&mut self, call: &Call) {
        self.route = Some(call.route.clone());
        self.service = Some(call.service.clone());
        self.account = call.account.as_ref().map(|account| account.name.clone());
        self.deadline = Some(call.deadline);
    }

    /// It was answered by a backend server.
    pub(super) fn answered(&self, traffic: &Traffic, status: StatusCode, progress: &Progress) {
        let has_failed = status.is_server_error();
        if !self.is_sampled && !has_failed {
            return;
        }
        let trace = progress.trace();
        tell!(
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

    /// It was given up or turned away.
    pub(super) fn refused(&self, traffic: &Traffic, refusal: &Refusal, progress: &Progress) {
        let trace = progress.trace();
        let left_ms = self
            .deadline
            .map_or(0, |deadline| deadline.since(traffic.clock.now()));
        tell!(
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

    /// It cannot be served, now or later.
    pub(super) fn rejected(&self, traffic: &Traffic, status: StatusCode) {
        tell!(
            self.is_sampled,
            true,
            "entry: rejected, request={} status={} took_ms={} config={}",
            text_of(self.id.as_ref()),
            status.as_u16(),
            self.took_ms(traffic),
            traffic.desired.version(),
        );
    }

    /// Which service is pressed behind its route, how hard, and the part of requests let in there.
    fn pressure(&self, traffic: &Traffic) -> String {
        let (Some(service), Some(route)) = (&self.service, &self.route) else {
            return String::new();
        };
        match traffic.roots.pressed_behind(service, route) {
            Some(pressed) => format!(
                " pressed={} pressure_permille={} admitted_percent={}",
                pressed.service, pressed.pressure_permille, pressed.admitted_percent
            ),
            None => String::new(),
        }
    }

    fn took_ms(&self, traffic: &Traffic) -> u64 {
        (traffic.clock.now_us() - self.started_us) / 1_000
    }
}

/// What is known of a call at its guard.
#[derive(Clone, Debug)]
pub(super) struct GuardStory {
    id: Option<HeaderValue>,
    is_sampled: bool,
    route: Name,
    arrived_us: u64,
    deadline: TimeMs,
}

impl GuardStory {
    /// A call has arrived.
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

    /// It came to its end here.
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
        tell!(
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
        tell!(
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

/// A request is beyond its account's allowance. The key is never told.
pub(super) fn tell_beyond(
    traffic: &Traffic,
    account: &CallAccount,
    allowance: Allowance,
    beyond: AllowanceExceeded,
) {
    let told = beyond.reply_age_ms;
    let told = told.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
    log::info!(
        "account: beyond its allowance, account={} rate_per_s={} burst={} part_permille={} \
         told_ms_ago={told} config={}",
        account.name,
        allowance.rate_per_s,
        allowance.burst,
        beyond.admitted_permille,
        traffic.desired.version(),
    );
}

/// A further attempt begins.
pub(super) fn tell_retry(traffic: &Traffic, call: &Call, after: &Refusal, target: &str) {
    let names = &traffic.settings.header_names;
    let id = text_of(call.message.headers.get(&names.request_id));
    tell!(
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
