//! Tracks the incarnation of the local backend server, and whether it accepts work.
//!
//! No I/O: reports and the outcomes of connections are passed in, each with its time.

use crate::admission::AdvertisedRate;
use crate::admission::RateChange;
use crate::admission::RateLimitState;
use crate::core::Name;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::traffic::Departure;
use crate::traffic::KnownServer;
use crate::traffic::ReportedState;
use crate::traffic::ServerReport;
use crate::traffic::gone_servers::GoneServers;
use crate::traffic::gone_servers::is_later;
use crate::wire::Advertisement;

/// A report with a sequence number up to this comes from an incarnation that has just started.
const FIRST_SEQUENCES: u64 = 2;
/// The current incarnation counts as silent after this percentage of the heartbeat period: one
/// heartbeat was missed, and the next one is late.
const SILENT_PERCENT: u64 = 160;
/// How late a report can arrive, in milliseconds. One that arrives later than this after the start
/// of the process was sent after the start.
const MAX_REPORT_DELAY_MS: u64 = 10_000;

/// Advertised rate limits are exchanged in thousandths of a request per second.
const MILLI: f64 = 1_000.0;

/// The incarnation that serves at the backend server's address.
#[derive(Clone, Debug, PartialEq)]
struct CurrentServer {
    incarnation: Name,
    started_unix_ms: Option<u64>,
    /// `None` until a report names it. An address can go to a backend server of another service.
    service: Option<Name>,
    slots: u32,
    sequence: u64,
    /// It is draining or has left. Never reset within an incarnation.
    is_leaving: bool,
    /// It refuses connections: it crashed, or has not opened its port yet.
    is_down: bool,
    /// The time of its last new report, or of the answer that named it.
    last_contact: TimeMs,
    rate: RateLimitState,
}

impl CurrentServer {
    /// What to store for a restart of this process, once its service is known.
    fn known(&self) -> Option<KnownServer> {
        self.service.clone().map(|service| KnownServer {
            incarnation: self.incarnation.clone(),
            started_unix_ms: self.started_unix_ms,
            service,
            slots: self.slots,
        })
    }

    /// Records that another incarnation is in its place.
    fn record_in(&self, gone: &mut GoneServers) {
        gone.record(&self.incarnation, self.started_unix_ms, self.is_leaving);
    }
}

/// Whether an input changed what is known of the local backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalChange {
    Changed,
    NoChange,
}

/// What is known of the local backend server.
///
/// Reports can arrive late. A late report of an incarnation that has ended, or from before a
/// departure, must not cause requests to be sent to that incarnation. Four rules prevent it:
/// - A departure holds for the rest of an incarnation.
/// - Incarnations that have ended are remembered.
/// - While the current incarnation still reports, an unknown one replaces it only with one of its
///   first reports.
/// - Until a restarted process has read the departure that its predecessor stored, a report of
///   readiness must be confirmed by the backend server; see [`Self::must_confirm`].
///
/// Requests name the expected incarnation, so one that has ended runs none of them. This holds only
/// if an incarnation is paired with the service that its own reports named: an answer names an
/// incarnation without its service, so that incarnation gets no work before its first report.
#[derive(Clone, Debug)]
pub struct LocalServer {
    heartbeat_ms: u64,
    current: Option<CurrentServer>,
    /// The incarnation before the current one, until a report names the current one's service.
    previous: Option<KnownServer>,
    gone: GoneServers,
    /// Since when the stored departure has not been read; `None` once it has.
    unread_since: Option<TimeMs>,
}

impl LocalServer {
    /// Nothing is known yet, so no request is sent.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            heartbeat_ms,
            current: None,
            previous: None,
            gone: GoneServers::default(),
            unread_since: None,
        }
    }

    /// Marks the departure that the predecessor of this process may have stored as not read yet.
    pub fn expect_stored_departure(&mut self, now: TimeMs) {
        self.unread_since = Some(now);
    }

    /// Applies the departure that was read from the store, or that there is none.
    ///
    /// The read may have been answered late, so a late report may have made the departed incarnation
    /// the current one.
    pub fn restore_departure(&mut self, now: TimeMs, stored: Option<Departure>) -> LocalChange {
        self.unread_since = None;
        stored.map_or(LocalChange::NoChange, |departure| {
            let Departure {
                incarnation,
                started_unix_ms,
            } = departure;
            self.apply_report(now, &ServerReport::departure(incarnation, started_unix_ms))
        })
    }

    /// Whether a report takes effect only after a health check of the backend server.
    ///
    /// It may be from before a departure that only the store still holds. Holding every incarnation
    /// back until the store answers would leave a node that was restarted during an outage without
    /// its backend server. A health check alone would do so if its answers are wrong, so a report
    /// that must have been sent after the start of this process needs none: a backend server that
    /// has left sends no more reports.
    pub fn must_confirm(&self, now: TimeMs, report: &ServerReport) -> bool {
        let Some(since) = self.unread_since else {
            return false;
        };
        let is_same = |current: &CurrentServer| {
            current.service.is_some() && current.incarnation == report.incarnation
        };
        report.state == ReportedState::Ready
            && now.since(since) <= MAX_REPORT_DELAY_MS
            && !self.current.as_ref().is_some_and(is_same)
    }

    /// Changes the period at which reports are expected.
    pub fn set_heartbeat_ms(&mut self, heartbeat_ms: u64) {
        self.heartbeat_ms = heartbeat_ms;
    }

    /// Records an incarnation that is leaving or has left, so that its late reports change nothing.
    pub fn mark_gone(&mut self, incarnation: &Name, started_unix_ms: Option<u64>) {
        self.gone.record(incarnation, started_unix_ms, true);
    }

    /// Restores what was known before this process started, once the backend server has confirmed
    /// that it still is that incarnation. Has no effect after a first report.
    pub fn restore(&mut self, now: TimeMs, known: &KnownServer) -> LocalChange {
        if self.current.is_some() || self.gone.contains(&known.incarnation) {
            return LocalChange::NoChange;
        }
        self.current = Some(CurrentServer {
            incarnation: known.incarnation.clone(),
            started_unix_ms: known.started_unix_ms,
            service: Some(known.service.clone()),
            slots: known.slots,
            sequence: 0,
            is_leaving: false,
            is_down: false,
            last_contact: now,
            rate: RateLimitState::default(),
        });
        LocalChange::Changed
    }

    /// What to store for a restart of this process: the incarnation, unless it is leaving.
    ///
    /// Until the service of the current incarnation is known, this is the one before it. A restarted
    /// process uses it only if the backend server confirms its identifier, so it does no harm, and
    /// the stored row needs no write until the first report.
    pub fn known(&self) -> Option<KnownServer> {
        let current = self.current.as_ref()?;
        if current.is_leaving {
            return None;
        }
        current.known().or_else(|| self.previous.clone())
    }

    /// Applies a report.
    pub fn apply_report(&mut self, now: TimeMs, report: &ServerReport) -> LocalChange {
        let is_current = |current: &CurrentServer| current.incarnation == report.incarnation;
        if self.current.as_ref().is_some_and(is_current) {
            return self.apply_current_report(now, report);
        }
        let has_left = report.state == ReportedState::Left;
        let is_of_gone = self.gone.is_report_of_gone(report);
        if !has_left && !is_of_gone && self.may_replace(now, report) {
            self.replace(now, report);
            return LocalChange::Changed;
        }
        // The departure is acknowledged, so it must hold if an answer names the incarnation later.
        if report.state != ReportedState::Ready {
            let before = self.departure();
            self.mark_gone(&report.incarnation, report.started_unix_ms);
            if self.departure() != before {
                return LocalChange::Changed;
            }
        }
        LocalChange::NoChange
    }

    /// Applies a report with the identifier of the current incarnation.
    ///
    /// A backend server may crash and restart under the same identifier. Its sequence numbers then
    /// start again, so without this check all its reports would count as late, and it would get no
    /// work. Such a restart is detected by a later start time. Without start times it is detected
    /// by one of its first reports after the server was down.
    fn apply_current_report(&mut self, now: TimeMs, report: &ServerReport) -> LocalChange {
        let silent_ms = self.silent_ms();
        let Some(current) = self.current.as_mut() else {
            return LocalChange::NoChange;
        };
        let is_silent = current.is_down || now.since(current.last_contact) > silent_ms;
        let is_ready = report.state == ReportedState::Ready;
        let has_restarted = match (report.started_unix_ms, current.started_unix_ms) {
            // The machine's clock may have been set back in between.
            (Some(theirs), Some(ours)) if theirs < ours => is_silent && is_ready,
            (Some(theirs), Some(ours)) => theirs > ours,
            _ => {
                let is_first = |sequence| sequence <= FIRST_SEQUENCES;
                let lower = |sequence: u64| sequence < current.sequence;
                let sequence = report.sequence.filter(|_| is_ready && current.is_down);
                sequence.is_some_and(|sequence| is_first(sequence) && lower(sequence))
            }
        };
        if has_restarted {
            self.replace(now, report);
            return LocalChange::Changed;
        }
        if is_later(current.started_unix_ms, report.started_unix_ms) {
            return LocalChange::NoChange;
        }
        let before = current.clone();
        current.started_unix_ms = current.started_unix_ms.or(report.started_unix_ms);
        current.is_leaving |= report.state != ReportedState::Ready;
        if report
            .sequence
            .is_some_and(|sequence| sequence > current.sequence)
        {
            current.sequence = report.sequence.unwrap_or(current.sequence);
            current.last_contact = now;
            current.slots = report.slots.unwrap_or(current.slots);
            current.service = report.service.clone().or(current.service.take());
            current.is_down = false;
        }
        let has_changed = before.is_leaving != current.is_leaving
            || before.is_down != current.is_down
            || before.slots != current.slots
            || before.service != current.service;
        if has_changed {
            LocalChange::Changed
        } else {
            LocalChange::NoChange
        }
    }

    /// After this time without a report the current incarnation counts as silent.
    fn silent_ms(&self) -> u64 {
        self.heartbeat_ms * SILENT_PERCENT / 100
    }

    fn may_replace(&self, now: TimeMs, report: &ServerReport) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        current.is_leaving
            || current.is_down
            || current.service.is_none()
            || now.since(current.last_contact) > self.silent_ms()
            || report
                .sequence
                .is_some_and(|sequence| sequence <= FIRST_SEQUENCES)
    }

    fn replace(&mut self, now: TimeMs, report: &ServerReport) {
        let before = self.current.take();
        if let Some(before) = before.filter(|before| before.incarnation != report.incarnation) {
            before.record_in(&mut self.gone);
        }
        self.gone.forget(&report.incarnation);
        self.current = Some(CurrentServer {
            incarnation: report.incarnation.clone(),
            started_unix_ms: report.started_unix_ms,
            service: report.service.clone(),
            slots: report.slots.unwrap_or(0),
            sequence: report.sequence.unwrap_or(0),
            is_leaving: report.state != ReportedState::Ready,
            is_down: false,
            last_contact: now,
            rate: RateLimitState::default(),
        });
    }

    /// Replaces the incarnation after the backend server refused a request that expected another
    /// one, and named its own. The answer does not name its service, which may be another one.
    pub fn correct_incarnation(
        &mut self,
        now: TimeMs,
        expected: &Name,
        actual: &Name,
    ) -> LocalChange {
        if expected == actual {
            return LocalChange::NoChange;
        }
        let is_expected = |current: &mut CurrentServer| current.incarnation == *expected;
        let Some(before) = self.current.take_if(is_expected) else {
            return LocalChange::NoChange;
        };
        self.current = Some(CurrentServer {
            incarnation: actual.clone(),
            started_unix_ms: None,
            service: None,
            slots: 0,
            sequence: 0,
            is_leaving: self.gone.has_left(actual),
            is_down: false,
            last_contact: now,
            rate: RateLimitState::default(),
        });
        before.record_in(&mut self.gone);
        let previous = before.known().or(self.previous.take());
        self.previous = previous.filter(|_| !before.is_leaving);
        LocalChange::Changed
    }

    /// Records that the backend server refused a connection: it is down until its next report.
    pub fn mark_down(&mut self, incarnation: &Name) -> LocalChange {
        let current = self.current.as_mut();
        match current.filter(|current| current.incarnation == *incarnation && !current.is_down) {
            Some(current) => {
                current.is_down = true;
                LocalChange::Changed
            }
            None => LocalChange::NoChange,
        }
    }

    /// Applies the rate limit of an answer to a request that was sent at `sent_at`.
    pub fn apply_rate(
        &mut self,
        now: TimeMs,
        incarnation: &Name,
        sent_at: TimeMs,
        advertisement: AdvertisedRate,
    ) -> RateChange {
        let current = self.current.as_mut();
        match current.filter(|current| current.incarnation == *incarnation) {
            Some(current) => current.rate.record(now, sent_at, advertisement),
            None => RateChange::Unchanged,
        }
    }

    /// Applies an advertisement relayed by a peer. It may be from before this process started.
    pub fn apply_advertisement(
        &mut self,
        now: TimeMs,
        advertisement: &Advertisement,
    ) -> LocalChange {
        let current = self.current.as_ref();
        let current = current.filter(|current| current.incarnation == advertisement.incarnation);
        if current
            .is_some_and(|current| is_later(current.started_unix_ms, advertisement.started_unix_ms))
        {
            return LocalChange::NoChange;
        }
        let incarnation = advertisement.incarnation.clone();
        let leaving_change = if advertisement.is_leaving {
            self.apply_report(
                now,
                &ServerReport::departure(incarnation, advertisement.started_unix_ms),
            )
        } else {
            LocalChange::NoChange
        };
        let is_advertiser =
            |current: &&mut CurrentServer| current.incarnation == advertisement.incarnation;
        let current = self.current.as_mut().filter(is_advertiser);
        let change = current
            .zip(advertisement.rate_milli)
            .map(|(current, rate_milli)| {
                let per_s = rate_milli as f64 / MILLI;
                current.rate.adopt(now, per_s)
            });
        match change {
            None | Some(RateChange::Unchanged) => leaving_change,
            Some(_) => LocalChange::Changed,
        }
    }

    /// The departure and rate limit advertised by the current incarnation, if any.
    pub fn advertisement(&self) -> Option<Advertisement> {
        let current = self.current.as_ref()?;
        let rate_milli = current.rate.per_s().map(|per_s| (per_s * MILLI) as u64);
        (current.is_leaving || rate_milli.is_some()).then(|| Advertisement {
            incarnation: current.incarnation.clone(),
            started_unix_ms: current.started_unix_ms,
            is_leaving: current.is_leaving,
            rate_milli,
        })
    }

    /// The rate limit that it has advertised, in requests per second.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.current.as_ref()?.rate.per_s()
    }

    /// The incarnation that accepts requests for `service`.
    pub fn accepting_incarnation(&self, service: &str) -> Option<&Name> {
        let current = self.current.as_ref()?;
        let is_own = current.service.as_deref() == Some(service);
        let is_accepting = !current.is_leaving && !current.is_down && is_own;
        is_accepting.then_some(&current.incarnation)
    }

    /// The state that is announced to other nodes.
    pub fn state(&self) -> TargetState {
        match &self.current {
            None => TargetState::Starting,
            Some(current) if current.is_leaving => TargetState::Draining,
            Some(current) if current.is_down || current.service.is_none() => TargetState::Starting,
            Some(_) => TargetState::Up,
        }
    }

    /// The current incarnation, in any state.
    pub fn incarnation(&self) -> Option<&Name> {
        self.current.as_ref().map(|current| &current.incarnation)
    }

    /// When the current incarnation started, if it has reported it.
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.current.as_ref()?.started_unix_ms
    }

    /// Whether it refuses connections.
    pub fn is_down(&self) -> bool {
        self.current.as_ref().is_some_and(|current| current.is_down)
    }

    /// The service that it has reported.
    pub fn service(&self) -> Option<&Name> {
        self.current.as_ref()?.service.as_ref()
    }

    /// How many requests it can run at once, as reported; 0 while unknown.
    pub fn slots(&self) -> u32 {
        self.current.as_ref().map_or(0, |current| current.slots)
    }

    /// The current incarnation, if it is leaving.
    pub fn leaving(&self) -> Option<&Name> {
        let current = self.current.as_ref()?;
        current.is_leaving.then_some(&current.incarnation)
    }

    /// What to store for a restart of this process. A departure can be the first that a restarted
    /// process learns of an incarnation, so there may be no current one.
    pub fn departure(&self) -> Option<Departure> {
        match &self.current {
            Some(current) => current.is_leaving.then(|| Departure {
                incarnation: current.incarnation.clone(),
                started_unix_ms: current.started_unix_ms,
            }),
            None => self.gone.last_departure(),
        }
    }
}
