//! Which incarnation of the backend server stands beside this node, and whether it takes work.
//!
//! Pure: reports and what is met on connections go in, with a time.

use std::collections::VecDeque;

use crate::core::Name;
use crate::core::TargetState;
use crate::core::TimeMs;
use crate::traffic::ReportedState;
use crate::traffic::ServerReport;

/// Incarnations remembered as gone, so that their late reports change nothing.
const MOST_GONE: usize = 32;
/// A report with a sequence up to this is among an incarnation's first: it has just started.
const FIRST_SEQUENCES: u64 = 2;
/// The present incarnation counts as silent after so many heartbeat periods, in percent: one was
/// missed, and the next one is late.
const SILENT_PERCENT: u64 = 160;

/// The incarnation that stands at the backend server's address.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Present {
    incarnation: Name,
    service: Name,
    slots: u32,
    sequence: u64,
    /// It drains or has said that it leaves; that is never taken back.
    is_leaving: bool,
    /// It takes no connections: it crashed, or has not opened its port yet.
    is_down: bool,
    heard_at: TimeMs,
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
    gone: VecDeque<Name>,
}

impl LocalServer {
    /// Nothing is known yet, so nothing is sent.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            heartbeat_ms,
            present: None,
            gone: VecDeque::new(),
        }
    }

    /// Changes how often reports are expected.
    pub fn set_heartbeat_ms(&mut self, heartbeat_ms: u64) {
        self.heartbeat_ms = heartbeat_ms;
    }

    /// An incarnation is known to have said that it leaves, from before this process started.
    pub fn note_gone(&mut self, incarnation: &Name) {
        if self.gone.contains(incarnation) {
            return;
        }
        if self.gone.len() >= MOST_GONE {
            self.gone.pop_front();
        }
        self.gone.push_back(incarnation.clone());
    }

    /// Takes in a report.
    pub fn take(&mut self, now: TimeMs, report: &ServerReport) -> Reported {
        let is_present = |present: &Present| present.incarnation == report.incarnation;
        if self.present.as_ref().is_some_and(is_present) {
            return self.take_present(now, report);
        }
        if report.state == ReportedState::Left {
            self.note_gone(&report.incarnation);
            return Reported::Nothing;
        }
        if self.gone.contains(&report.incarnation) || !self.may_replace(now, report) {
            return Reported::Nothing;
        }
        self.replace(now, report);
        Reported::News
    }

    fn take_present(&mut self, now: TimeMs, report: &ServerReport) -> Reported {
        let Some(present) = self.present.as_mut() else {
            return Reported::Nothing;
        };
        let before = present.clone();
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

    fn may_replace(&self, now: TimeMs, report: &ServerReport) -> bool {
        let Some(present) = &self.present else {
            return true;
        };
        let silent_ms = self.heartbeat_ms * SILENT_PERCENT / 100;
        present.is_leaving
            || present.is_down
            || now.since(present.heard_at) > silent_ms
            || report
                .sequence
                .is_some_and(|sequence| sequence <= FIRST_SEQUENCES)
    }

    fn replace(&mut self, now: TimeMs, report: &ServerReport) {
        if let Some(before) = self.present.take() {
            self.note_gone(&before.incarnation);
        }
        self.present = Some(Present {
            incarnation: report.incarnation.clone(),
            service: report.service.clone().unwrap_or_else(|| Name::from("")),
            slots: report.slots.unwrap_or(0),
            sequence: report.sequence.unwrap_or(0),
            is_leaving: report.state != ReportedState::Ready,
            is_down: false,
            heard_at: now,
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
        present.sequence = 0;
        present.heard_at = now;
        present.is_leaving = self.gone.contains(actual);
        self.note_gone(&before);
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
