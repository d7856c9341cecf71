//! Which incarnation of the backend server stands beside this node, and whether it takes work.
//!
//! Pure: reports and what is met on connections go in, with a time.

use crate::admission::AdvertisedRate;
use crate::admission::RateChange;
use crate::admission::RateLimitState;
use crate::core::Name;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::traffic::KnownServer;
use crate::traffic::ReportedState;
use crate::traffic::ServerReport;
use crate::traffic::gone_servers::GoneServers;
use crate::traffic::gone_servers::is_later;
use crate::wire::ServerWord;

/// A report with a sequence up to this is among an incarnation's first: it has just started.
const FIRST_SEQUENCES: u64 = 2;
/// The present incarnation counts as silent after so many heartbeat periods, in percent: one was
/// missed, and the next one is late.
const SILENT_PERCENT: u64 = 160;

/// Thousandths in a whole.
const MILLI: f64 = 1_000.0;

/// The incarnation that stands at the backend server's address.
#[derive(Clone, Debug, PartialEq)]
struct Present {
    incarnation: Name,
    started_unix_ms: Option<u64>,
    service: Name,
    slots: u32,
    sequence: u64,
    /// It drains or has said that it leaves; that is never taken back.
    is_leaving: bool,
    /// It takes no connections: it crashed, or has not opened its port yet.
    is_down: bool,
    heard_at: TimeMs,
    rate: RateLimitState,
}

/// Whether a report brought news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported {
    News,
    Nothing,
}

/// The backend server beside this node, as far as is known.
///
/// Guards against reports that arrive late: one of an incarnation that has ended, or one from
/// before a departure, would have requests sent to what is no longer there, or after it asked for
/// none. It holds because a departure is never taken back within an incarnation, what is gone is
/// remembered, and an unknown incarnation replaces one that still reports only with one of its
/// first reports. Requests name the incarnation that is meant, so a wrong belief runs nothing.
#[derive(Clone, Debug)]
pub struct LocalServer {
    heartbeat_ms: u64,
    present: Option<Present>,
    gone: GoneServers,
}

impl LocalServer {
    /// Nothing is known yet, so nothing is sent.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            heartbeat_ms,
            present: None,
            gone: GoneServers::default(),
        }
    }

    /// Changes how often reports are expected.
    pub fn set_heartbeat_ms(&mut self, heartbeat_ms: u64) {
        self.heartbeat_ms = heartbeat_ms;
    }

    /// An incarnation is known to have said that it leaves, from before this process started.
    pub fn note_gone(&mut self, incarnation: &Name, started_unix_ms: Option<u64>) {
        self.gone.note(incarnation, started_unix_ms);
    }

    /// Takes over what is known from before this process started, once the backend server has said
    /// itself that it still is that incarnation. Reports go before it.
    pub fn recall(&mut self, now: TimeMs, known: &KnownServer) -> Reported {
        if self.present.is_some() || self.gone.contains(&known.incarnation) {
            return Reported::Nothing;
        }
        self.present = Some(Present {
            incarnation: known.incarnation.clone(),
            started_unix_ms: known.started_unix_ms,
            service: known.service.clone(),
            slots: known.slots,
            sequence: 0,
            is_leaving: false,
            is_down: false,
            heard_at: now,
            rate: RateLimitState::default(),
        });
        Reported::News
    }

    /// What to keep over a restart of this process: the incarnation that takes work.
    pub fn known(&self) -> Option<KnownServer> {
        let present = self.present.as_ref()?;
        (!present.is_leaving).then(|| KnownServer {
            incarnation: present.incarnation.clone(),
            started_unix_ms: present.started_unix_ms,
            service: present.service.clone(),
            slots: present.slots,
        })
    }

    /// Takes in a report.
    pub fn take(&mut self, now: TimeMs, report: &ServerReport) -> Reported {
        let is_present = |present: &Present| present.incarnation == report.incarnation;
        if self.present.as_ref().is_some_and(is_present) {
            return self.take_present(now, report);
        }
        if report.state == ReportedState::Left {
            self.note_gone(&report.incarnation, report.started_unix_ms);
            return Reported::Nothing;
        }
        if self.gone.has_sent(report) || !self.may_replace(now, report) {
            return Reported::Nothing;
        }
        self.replace(now, report);
        Reported::News
    }

    /// Takes in a report under the identifier of the present incarnation.
    ///
    /// Guards against a backend server that crashes and comes back under the same identifier: its
    /// sequence starts anew, so all its reports looked late, and it got no more work. It holds because
    /// such a start is told by its time, or, without one, by first reports of one that was down.
    fn take_present(&mut self, now: TimeMs, report: &ServerReport) -> Reported {
        let silent_ms = self.silent_ms();
        let Some(present) = self.present.as_mut() else {
            return Reported::Nothing;
        };
        let is_silent = present.is_down || now.since(present.heard_at) > silent_ms;
        let is_ready = report.state == ReportedState::Ready;
        let starts_anew = match (report.started_unix_ms, present.started_unix_ms) {
            // The clock of the machine may have been set back meanwhile.
            (Some(theirs), Some(ours)) if theirs < ours => is_silent && is_ready,
            (Some(theirs), Some(ours)) => theirs > ours,
            _ => {
                let is_first = |sequence| sequence <= FIRST_SEQUENCES;
                let lower = |sequence: u64| sequence < present.sequence;
                let sequence = report.sequence.filter(|_| is_ready && present.is_down);
                sequence.is_some_and(|sequence| is_first(sequence) && lower(sequence))
            }
        };
        if starts_anew {
            self.replace(now, report);
            return Reported::News;
        }
        if is_later(present.started_unix_ms, report.started_unix_ms) {
            return Reported::Nothing;
        }
        let before = present.clone();
        present.started_unix_ms = present.started_unix_ms.or(report.started_unix_ms);
        present.is_leaving |= report.state != ReportedState::Ready;
        if report
            .sequence
            .is_some_and(|sequence| sequence > present.sequence)
        {
            present.sequence = report.sequence.unwrap_or(present.sequence);
            present.heard_at = now;
            present.slots = report.slots.unwrap_or(present.slots);
            present.service = report.service.clone().unwrap_or(present.service.clone());
            present.is_down = false;
        }
        let is_news = before.is_leaving != present.is_leaving
            || before.is_down != present.is_down
            || before.slots != present.slots
            || before.service != present.service;
        if is_news {
            Reported::News
        } else {
            Reported::Nothing
        }
    }

    /// After this time without a report the present incarnation counts as silent.
    fn silent_ms(&self) -> u64 {
        self.heartbeat_ms * SILENT_PERCENT / 100
    }

    fn may_replace(&self, now: TimeMs, report: &ServerReport) -> bool {
        let Some(present) = &self.present else {
            return true;
        };
        present.is_leaving
            || present.is_down
            || now.since(present.heard_at) > self.silent_ms()
            || report
                .sequence
                .is_some_and(|sequence| sequence <= FIRST_SEQUENCES)
    }

    fn replace(&mut self, now: TimeMs, report: &ServerReport) {
        let before = self.present.take();
        if let Some(before) = before.filter(|before| before.incarnation != report.incarnation) {
            self.note_gone(&before.incarnation, before.started_unix_ms);
        }
        self.gone.forget(&report.incarnation);
        self.present = Some(Present {
            incarnation: report.incarnation.clone(),
            started_unix_ms: report.started_unix_ms,
            service: report.service.clone().unwrap_or_else(|| Name::from("")),
            slots: report.slots.unwrap_or(0),
            sequence: report.sequence.unwrap_or(0),
            is_leaving: report.state != ReportedState::Ready,
            is_down: false,
            heard_at: now,
            rate: RateLimitState::default(),
        });
    }

    /// The backend server itself said which incarnation it is, when another one was meant.
    pub fn note_actual(&mut self, now: TimeMs, expected: &Name, actual: &Name) -> Reported {
        let Some(present) = self.present.as_mut() else {
            return Reported::Nothing;
        };
        if present.incarnation != *expected || expected == actual {
            return Reported::Nothing;
        }
        let before = std::mem::replace(&mut present.incarnation, actual.clone());
        let started_unix_ms = present.started_unix_ms.take();
        present.sequence = 0;
        present.heard_at = now;
        present.rate = RateLimitState::default();
        present.is_leaving = self.gone.contains(actual);
        self.note_gone(&before, started_unix_ms);
        Reported::News
    }

    /// The backend server took no connection: it is down until it reports again.
    pub fn note_refused(&mut self, incarnation: &Name) -> Reported {
        let present = self.present.as_mut();
        match present.filter(|present| present.incarnation == *incarnation && !present.is_down) {
            Some(present) => {
                present.is_down = true;
                Reported::News
            }
            None => Reported::Nothing,
        }
    }

    /// Takes in what an answer of an incarnation, to a request sent at `sent_at`, says of the rate.
    pub fn note_rate(
        &mut self,
        now: TimeMs,
        incarnation: &Name,
        sent_at: TimeMs,
        word: AdvertisedRate,
    ) -> RateChange {
        let present = self.present.as_mut();
        match present.filter(|present| present.incarnation == *incarnation) {
            Some(present) => present.rate.note(now, sent_at, word),
            None => RateChange::Unchanged,
        }
    }

    /// Takes in what a peer was told of a backend server, perhaps before this process started.
    pub fn take_word(&mut self, now: TimeMs, word: &ServerWord) -> Reported {
        let present = self.present.as_ref();
        let present = present.filter(|present| present.incarnation == word.incarnation);
        if present.is_some_and(|present| is_later(present.started_unix_ms, word.started_unix_ms)) {
            return Reported::Nothing;
        }
        let incarnation = word.incarnation.clone();
        let left = if word.is_leaving {
            self.take(
                now,
                &ServerReport::departure(incarnation, word.started_unix_ms),
            )
        } else {
            Reported::Nothing
        };
        let is_meant = |present: &&mut Present| present.incarnation == word.incarnation;
        let present = self.present.as_mut().filter(is_meant);
        let change = present.zip(word.rate_milli).map(|(present, rate_milli)| {
            let per_s = rate_milli as f64 / MILLI;
            present.rate.adopt(now, per_s)
        });
        match change {
            None | Some(RateChange::Unchanged) => left,
            Some(_) => Reported::News,
        }
    }

    /// What the incarnation that stands there has said of itself, if it binds whoever sends it requests.
    pub fn word(&self) -> Option<ServerWord> {
        let present = self.present.as_ref()?;
        let rate_milli = present.rate.per_s().map(|per_s| (per_s * MILLI) as u64);
        (present.is_leaving || rate_milli.is_some()).then(|| ServerWord {
            incarnation: present.incarnation.clone(),
            started_unix_ms: present.started_unix_ms,
            is_leaving: present.is_leaving,
            rate_milli,
        })
    }

    /// How many requests a second it says it takes, if it says so.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.present.as_ref()?.rate.per_s()
    }

    /// The incarnation to which requests for `service` may be sent.
    pub fn takes_work(&self, service: &str) -> Option<&Name> {
        let present = self.present.as_ref()?;
        let may = !present.is_leaving && !present.is_down && &*present.service == service;
        may.then_some(&present.incarnation)
    }

    /// What other nodes are told.
    pub fn state(&self) -> TargetState {
        match &self.present {
            None => TargetState::Starting,
            Some(present) if present.is_leaving => TargetState::Draining,
            Some(present) if present.is_down => TargetState::Starting,
            Some(_) => TargetState::Up,
        }
    }

    /// Which incarnation stands there, whatever its state.
    pub fn incarnation(&self) -> Option<&Name> {
        self.present.as_ref().map(|present| &present.incarnation)
    }

    /// When the incarnation that stands there started, if it has said so.
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.present.as_ref()?.started_unix_ms
    }

    /// Whether it takes no connections.
    pub fn is_down(&self) -> bool {
        self.present.as_ref().is_some_and(|present| present.is_down)
    }

    /// The service that it says it belongs to.
    pub fn service(&self) -> Option<&Name> {
        self.present.as_ref().map(|present| &present.service)
    }

    /// How many requests it says it runs at once; 0 while unknown.
    pub fn slots(&self) -> u32 {
        self.present.as_ref().map_or(0, |present| present.slots)
    }

    /// The incarnation, if it has said that it leaves.
    pub fn leaving(&self) -> Option<&Name> {
        let present = self.present.as_ref()?;
        present.is_leaving.then_some(&present.incarnation)
    }
}
