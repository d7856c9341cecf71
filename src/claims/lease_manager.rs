//! Keeps the lease and the slots of one node: a pure state machine over the service's row.
//!
//! Guards against two processes that run calls of the same slot at once, each slot_lease the other
//! for gone: a charge would be made twice, once by either. It holds because an owner relies on
//! its slots only for a lease after a sign that nobody had begun to take them over, and whoever
//! takes over announces it first and then waits longer than that lease. The argument in full,
//! with pauses, lost answers and late writes, is in docs/AT_MOST_ONCE.md.

use crate::claims::Action;
use crate::claims::SlotLease;
use crate::claims::LeaseConf;
use crate::claims::LedgerTransfer;
use crate::claims::ReadResult;
use crate::claims::ResendLimits;
use crate::claims::NodeConditions;
use crate::claims::SlotMap;
use crate::claims::WriteResult;
use crate::claims::held_slots::Received;
use crate::claims::promises::Promises;
use crate::claims::row_plan;
use crate::claims::row_plan::Given;
use crate::claims::row_plan::PlanInput;
use crate::control::Promise;
use crate::control::PromiseAsk;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// How many transfers are remembered that were received and not seen in the row yet.
const MAX_RECEIVED: usize = 16;
/// The longest wait after a lost race for the row.
const CONFLICT_WAIT_MS: u64 = 200;

/// Who a node is, for as long as its process lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    pub node: Name,
    pub region: Name,
    pub service: Name,
    pub instance: u64,
    pub boot: u64,
}

/// The row as last read or written.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) version: Option<u64>,
    pub(super) map: SlotMap,
}

#[derive(Clone, Debug)]
pub(super) struct Write {
    map: SlotMap,
    expected: Option<u64>,
    takes_over: bool,
}

#[derive(Clone, Debug)]
pub(super) enum Pending {
    Read,
    Write(Box<Write>),
}

/// A write whose answer was lost and that may still take effect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unresolved {
    pub(super) expected: Option<u64>,
    takes_over: bool,
}

/// Slots on their way to another member.
#[derive(Clone, Debug)]
pub(super) struct Giving {
    pub(super) given: Given,
    pub(super) confirmed: bool,
}

/// The lease manager of one node. Call [`Self::tick`] several times a second.
#[derive(Debug)]
pub struct LeaseManager {
    pub(super) me: Identity,
    pub(super) conf: LeaseConf,
    pub(super) limits: ResendLimits,
    pub(super) rng: fastrand::Rng,
    pub(super) conditions: NodeConditions,
    pub(super) row: Option<Row>,
    pub(super) pending: Option<(u64, TimeMs, Pending)>,
    pub(super) unresolved: Option<Unresolved>,
    pub(super) next_op: u64,
    pub(super) next_read_at: TimeMs,
    /// When the last sign was asked for that nobody takes over, out of the row itself.
    pub(super) clean_at: Option<TimeMs>,
    pub(super) promises: Promises,
    /// Own intents in the row and when each was seen to be there.
    pub(super) intents: FastMap<u64, TimeMs>,
    pub(super) missing_since: FastMap<u64, TimeMs>,
    pub(super) not_serving_since: Option<TimeMs>,
    pub(super) unowned_since: Option<TimeMs>,
    pub(super) handing_over: Option<Giving>,
    pub(super) give_at: TimeMs,
    pub(super) transfers: u32,
    pub(super) received: Vec<Received>,
    pub(super) slot_lease: SlotLease,
}

impl LeaseManager {
    /// A manager that holds nothing yet.
    pub fn new(me: Identity, conf: LeaseConf, limits: ResendLimits, rng: fastrand::Rng) -> Self {
        Self {
            me,
            conf,
            limits,
            rng,
            conditions: NodeConditions::default(),
            row: None,
            pending: None,
            unresolved: None,
            next_op: 0,
            next_read_at: TimeMs(0),
            clean_at: None,
            promises: Promises::default(),
            intents: FastMap::default(),
            missing_since: FastMap::default(),
            not_serving_since: None,
            unowned_since: None,
            handing_over: None,
            give_at: TimeMs(0),
            transfers: 0,
            received: Vec::new(),
            slot_lease: SlotLease::none_held(),
        }
    }

    /// What the ledger may rely on. It has to be handed to the ledger after every call of the
    /// manager and before any of the actions is carried out.
    pub fn slot_lease(&self) -> &SlotLease {
        &self.slot_lease
    }

    /// Takes in another resend window.
    pub fn set_limits(&mut self, limits: ResendLimits) {
        self.limits = limits;
    }

    /// Whether this process has left the row, so that a planned stop may go on.
    pub fn has_left(&self) -> bool {
        let listed = |row: &Row| row.map.member(self.me.instance).is_some();
        !self.row.as_ref().is_some_and(listed)
            && self.pending.is_none()
            && self.slot_lease.count() == 0
    }

    /// Moves on with time and with what the node knows of its surroundings.
    pub fn tick(&mut self, now: TimeMs, conditions: NodeConditions) -> Vec<Action> {
        if conditions.serving || conditions.stopping {
            self.not_serving_since = None;
        } else {
            self.not_serving_since.get_or_insert(now);
        }
        if conditions.stopping && !self.conditions.stopping {
            self.next_read_at = now;
        }
        self.conditions = conditions;
        self.note_missing(now);
        self.advance(now)
    }

    /// Takes in the answer to [`Action::ReadRow`].
    pub fn on_read(&mut self, now: TimeMs, op: u64, result: ReadResult) -> Vec<Action> {
        let Some((sent_at, Pending::Read)) = self.take_pending(op) else {
            return Vec::new();
        };
        match result {
            ReadResult::Failed => {
                self.next_read_at = now + self.around(self.conf.read_again_ms);
            }
            ReadResult::Row(found) => {
                let (version, map) = match found {
                    Some((version, map)) => (Some(version), map),
                    None => (None, SlotMap::empty()),
                };
                self.next_read_at = sent_at + self.around(self.conf.read_every_ms);
                return self.accept_and_plan(now, sent_at, Row { version, map });
            }
        }
        self.advance(now)
    }

    /// Takes in the answer to [`Action::WriteRow`].
    pub fn on_write(&mut self, now: TimeMs, op: u64, result: WriteResult) -> Vec<Action> {
        let Some((sent_at, Pending::Write(write))) = self.take_pending(op) else {
            return Vec::new();
        };
        match result {
            WriteResult::Applied { version } => {
                let map = write.map;
                self.next_read_at = sent_at + self.around(self.conf.read_every_ms);
                let version = Some(version);
                return self.accept_and_plan(now, sent_at, Row { version, map });
            }
            WriteResult::Conflict => {
                self.next_read_at = now + self.rng.u64(0..=CONFLICT_WAIT_MS);
            }
            WriteResult::NotWritten => {
                self.next_read_at = now + self.around(self.conf.read_again_ms);
            }
            WriteResult::Unknown => {
                let before = self.unresolved.is_some_and(|before| before.takes_over);
                self.unresolved = Some(Unresolved {
                    expected: write.expected,
                    takes_over: before || write.takes_over,
                });
                self.next_read_at = now + self.rng.u64(0..=CONFLICT_WAIT_MS);
            }
        }
        self.advance(now)
    }

    /// Takes in the answer to [`Action::AskPromise`]; no answer is a refusal.
    pub fn on_promise(&mut self, now: TimeMs, round: u64, member: u64, promise: &Promise) {
        let granted = self.promises.on_answer(round, member, promise);
        let (Some((asked_at, hold_ms)), Some(clean_at)) = (granted, self.clean_at) else {
            return;
        };
        let terms = self.conf.terms;
        let until = (asked_at + terms.lease_ms.min(hold_ms)).min(clean_at + terms.outage_ms);
        if until > self.slot_lease.lease_until {
            log::debug!("claims: lease kept by promises now={now} until={until}");
            self.slot_lease.lease_until = until;
        }
    }

    /// Answers another owner that asks for a promise.
    ///
    /// Refused while a take-over may still take effect, and when the asker is not listed any more:
    /// then this process, or one before it in the row, has taken its slots over.
    pub fn promise_asked(&mut self, now: TimeMs, ask: &PromiseAsk) -> Promise {
        let asker = self
            .row
            .as_ref()
            .and_then(|row| row.map.member(ask.owner))
            .map(|member| member.terms);
        let Some(terms) = asker.filter(|_| ask.member == self.me.instance) else {
            return Promise::Refused;
        };
        if self.may_be_taking_over() {
            return Promise::Refused;
        }
        self.promises.promise(now, terms, self.conditions.stopping)
    }

    fn may_be_taking_over(&self) -> bool {
        let writing = match &self.pending {
            Some((_, _, Pending::Write(write))) => write.takes_over,
            _ => false,
        };
        writing || self.unresolved.is_some_and(|lost| lost.takes_over)
    }

    /// Notes that the ledger took in a transfer, whose slots may follow in the row.
    pub fn on_received(&mut self, now: TimeMs, transfer: &LedgerTransfer) {
        if transfer.slots.is_empty() || transfer.to != self.me.instance {
            return;
        }
        if self.received.len() >= MAX_RECEIVED {
            self.received.remove(0);
        }
        self.received.push(Received {
            id: transfer.id,
            at: now,
            slots: transfer.slots.clone(),
        });
        // The row is about to name this process as the owner.
        self.next_read_at = self.next_read_at.min(now + CONFLICT_WAIT_MS);
    }

    /// Takes in whether the receiver confirmed [`Action::HandOver`].
    pub fn on_handed_over(&mut self, now: TimeMs, transfer: u64, confirmed: bool) -> Vec<Action> {
        let Some(handing_over) = &mut self.handing_over else {
            return Vec::new();
        };
        if handing_over.given.transfer != transfer || handing_over.confirmed {
            return Vec::new();
        }
        if confirmed {
            handing_over.confirmed = true;
            self.next_read_at = now;
        } else {
            self.cancel_giving(now);
        }
        self.advance(now)
    }

    fn take_pending(&mut self, op: u64) -> Option<(TimeMs, Pending)> {
        if self.pending.as_ref()?.0 != op {
            return None;
        }
        let (_, sent_at, pending) = self.pending.take()?;
        Some((sent_at, pending))
    }

    fn accept_and_plan(&mut self, now: TimeMs, sent_at: TimeMs, row: Row) -> Vec<Action> {
        self.accept(now, sent_at, row);
        let mut actions = Vec::new();
        actions.extend(self.plan_write(now));
        actions.extend(self.advance(now));
        actions
    }

    /// What to change in the row that was just taken in.
    fn plan_write(&mut self, now: TimeMs) -> Option<Action> {
        let row = self.row.as_ref()?;
        let confirmed = self.handing_over.as_ref().filter(|handing_over| handing_over.confirmed);
        let input = PlanInput {
            me: &self.me,
            conf: &self.conf,
            now,
            serving: self.is_serving(now),
            stopping: self.conditions.stopping,
            alive: self.conditions.alive.len(),
            claims_all: self.are_slots_left_over(now),
            missing: &self.missing_since,
            intents: &self.intents,
            may_take_over: self.promises.may_take_over(now),
            given: confirmed.map(|handing_over| &handing_over.given),
        };
        let planned = row_plan::plan(&row.map, &input, &mut self.rng);
        let mut planned = match planned {
            Some(planned) => planned,
            // Only a further write makes certain that the lost one cannot take effect any more.
            None if self.unresolved.is_some() => row_plan::unchanged(&row.map),
            None => {
                let due_at = row_plan::next_due(&row.map, &input);
                self.next_read_at =
                    due_at.map_or(self.next_read_at, |at| at.min(self.next_read_at));
                return None;
            }
        };
        planned.map.change = self.rng.u64(1..);
        let write = Write {
            map: planned.map.clone(),
            expected: row.version,
            takes_over: planned.takes_over,
        };
        let expected = write.expected;
        let op = self.new_op();
        self.pending = Some((op, now, Pending::Write(Box::new(write))));
        log::debug!("claims: row to be written change={:x}", planned.map.change);
        Some(Action::WriteRow {
            op,
            expected,
            map: planned.map,
        })
    }

    /// Whether those for whom slots were left did not claim them in time.
    fn are_slots_left_over(&self, now: TimeMs) -> bool {
        self.unowned_since
            .is_some_and(|since| now.since(since) >= 2 * self.conf.read_every_ms)
    }

    pub(super) fn is_serving(&self, now: TimeMs) -> bool {
        let since = self.not_serving_since;
        let lately = since.is_some_and(|since| now.since(since) < self.conf.not_serving_ms);
        let listed = |row: &Row| row.map.member(self.me.instance).is_some();
        let passing = lately && !self.conditions.draining;
        self.conditions.serving || (passing && self.row.as_ref().is_some_and(listed))
    }

    fn advance(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.pending.is_none() && self.next_read_at <= now {
            let op = self.new_op();
            self.pending = Some((op, now, Pending::Read));
            actions.push(Action::ReadRow { op });
        }
        actions.extend(self.start_giving(now));
        actions.extend(self.ask_promises(now));
        actions
    }

    fn new_op(&mut self) -> u64 {
        self.next_op += 1;
        self.next_op
    }

    /// A duration within a tenth of `wait_ms`, so that nodes started together drift apart.
    fn around(&mut self, wait_ms: u64) -> u64 {
        let tenth = wait_ms / 10;
        wait_ms - tenth + self.rng.u64(0..=2 * tenth)
    }
}
