//! Maintains the lease and the slots of one node. It is a state machine over the service's row and
//! does no I/O.
//!
//! Guards against two processes that run calls of the same slot at the same time because each
//! considers the other gone. A charge would then be made twice, once by each. Two rules prevent
//! this. An owner relies on its slots only for the length of a lease after evidence that no member
//! had begun to take them over. A member that takes over first announces it and then waits longer
//! than that lease. docs/AT_MOST_ONCE.md has the full argument, including pauses, lost answers and
//! late writes.

use crate::claims::Action;
use crate::claims::LeaseConf;
use crate::claims::LedgerTransfer;
use crate::claims::NodeConditions;
use crate::claims::ReadResult;
use crate::claims::ResendLimits;
use crate::claims::SlotLease;
use crate::claims::SlotMap;
use crate::claims::WriteResult;
use crate::claims::held_slots::ReceivedTransfer;
use crate::claims::promises::Promises;
use crate::claims::row_plan;
use crate::claims::row_plan::PlanInput;
use crate::claims::row_plan::SlotTransfer;
use crate::control::Promise;
use crate::control::PromiseRequest;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::TimeMs;

/// The largest number of received transfers kept. A later row may assign their slots.
const MAX_RECEIVED: usize = 16;
/// The longest delay before the next read after a write conflict, a write without an answer, or a
/// received transfer.
const MAX_CONFLICT_BACKOFF_MS: u64 = 200;

/// Identity of a node's process. It does not change while the process runs.
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
pub(super) struct UnresolvedWrite {
    pub(super) expected: Option<u64>,
    takes_over: bool,
}

/// Slots that are being handed over to another member or released.
#[derive(Clone, Debug)]
pub(super) struct OutgoingHandOver {
    pub(super) slot_transfer: SlotTransfer,
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
    pub(super) unresolved: Option<UnresolvedWrite>,
    pub(super) next_op: u64,
    pub(super) next_read_at: TimeMs,
    /// When the last clean read was requested. A read or write of the row is clean if the row lists
    /// this process and contains no intent against it.
    pub(super) last_clean_read_at: Option<TimeMs>,
    pub(super) promises: Promises,
    /// This process's intents in the row, and when each was first seen there.
    pub(super) intents: FastMap<u64, TimeMs>,
    pub(super) missing_since: FastMap<u64, TimeMs>,
    pub(super) not_serving_since: Option<TimeMs>,
    pub(super) unowned_since: Option<TimeMs>,
    pub(super) handing_over: Option<OutgoingHandOver>,
    pub(super) next_hand_over_at: TimeMs,
    pub(super) transfers: u32,
    pub(super) received: Vec<ReceivedTransfer>,
    pub(super) slot_lease: SlotLease,
}

impl LeaseManager {
    /// A manager that holds no slots yet.
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
            last_clean_read_at: None,
            promises: Promises::default(),
            intents: FastMap::default(),
            missing_since: FastMap::default(),
            not_serving_since: None,
            unowned_since: None,
            handing_over: None,
            next_hand_over_at: TimeMs(0),
            transfers: 0,
            received: Vec::new(),
            slot_lease: SlotLease::none_held(),
        }
    }

    /// The lease and slots that the ledger may rely on. Pass it to the ledger after every call to
    /// a method of the manager and before executing any of the returned actions.
    pub fn slot_lease(&self) -> &SlotLease {
        &self.slot_lease
    }

    /// Sets the limits after a change of the resend window.
    pub fn set_limits(&mut self, limits: ResendLimits) {
        self.limits = limits;
    }

    /// Whether this process is no longer listed in the row, so that a planned stop may proceed.
    pub fn has_left(&self) -> bool {
        let listed = |row: &Row| row.map.member(self.me.instance).is_some();
        !self.row.as_ref().is_some_and(listed)
            && self.pending.is_none()
            && self.slot_lease.count() == 0
    }

    /// Advances the time and updates the conditions of the node.
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
        self.update_missing(now);
        self.advance(now)
    }

    /// Processes the result of [`Action::ReadRow`].
    pub fn on_read(&mut self, now: TimeMs, op: u64, result: ReadResult) -> Vec<Action> {
        let Some((sent_at, Pending::Read)) = self.take_pending(op) else {
            return Vec::new();
        };
        match result {
            ReadResult::Failed => {
                self.next_read_at = now + self.jittered(self.conf.read_retry_ms);
            }
            ReadResult::Row(found) => {
                let (version, map) = match found {
                    Some((version, map)) => (Some(version), map),
                    None => (None, SlotMap::empty()),
                };
                self.next_read_at = sent_at + self.jittered(self.conf.read_interval_ms);
                return self.accept_and_plan(now, sent_at, Row { version, map });
            }
        }
        self.advance(now)
    }

    /// Processes the result of [`Action::WriteRow`].
    pub fn on_write(&mut self, now: TimeMs, op: u64, result: WriteResult) -> Vec<Action> {
        let Some((sent_at, Pending::Write(write))) = self.take_pending(op) else {
            return Vec::new();
        };
        match result {
            WriteResult::Applied { version } => {
                let map = write.map;
                self.next_read_at = sent_at + self.jittered(self.conf.read_interval_ms);
                let version = Some(version);
                return self.accept_and_plan(now, sent_at, Row { version, map });
            }
            WriteResult::Conflict => {
                self.next_read_at = now + self.rng.u64(0..=MAX_CONFLICT_BACKOFF_MS);
            }
            WriteResult::NotWritten => {
                self.next_read_at = now + self.jittered(self.conf.read_retry_ms);
            }
            WriteResult::Unknown => {
                let before = self.unresolved.is_some_and(|before| before.takes_over);
                self.unresolved = Some(UnresolvedWrite {
                    expected: write.expected,
                    takes_over: before || write.takes_over,
                });
                self.next_read_at = now + self.rng.u64(0..=MAX_CONFLICT_BACKOFF_MS);
            }
        }
        self.advance(now)
    }

    /// Processes the answer to [`Action::AskPromise`]. A missing answer counts as a refusal.
    pub fn on_promise(&mut self, now: TimeMs, round: u64, member: u64, promise: &Promise) {
        let granted = self.promises.on_answer(round, member, promise);
        let (Some((asked_at, hold_ms)), Some(last_clean_read_at)) =
            (granted, self.last_clean_read_at)
        else {
            return;
        };
        let terms = self.conf.terms;
        let until =
            (asked_at + terms.lease_ms.min(hold_ms)).min(last_clean_read_at + terms.outage_ms);
        if until > self.slot_lease.lease_until {
            log::debug!("claims: lease extended by promises now={now} until={until}");
            self.slot_lease.lease_until = until;
        }
    }

    /// Answers another owner's request for a promise not to take over.
    ///
    /// Refuses while a take-over by this process may still take effect. Also refuses an asker that
    /// the row no longer lists: this process, or an earlier writer of the row, has then taken its
    /// slots over. A request that is meant for an earlier process of this node is refused as well.
    pub fn on_promise_request(&mut self, now: TimeMs, ask: &PromiseRequest) -> Promise {
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

    /// Records a transfer that the ledger received. The row may assign its slots to this process
    /// later.
    pub fn on_received(&mut self, now: TimeMs, transfer: &LedgerTransfer) {
        if transfer.slots.is_empty() || transfer.to != self.me.instance {
            return;
        }
        if self.received.len() >= MAX_RECEIVED {
            self.received.remove(0);
        }
        self.received.push(ReceivedTransfer {
            id: transfer.id,
            at: now,
            slots: transfer.slots.clone(),
        });
        // The next version of the row is expected to name this process as the owner.
        self.next_read_at = self.next_read_at.min(now + MAX_CONFLICT_BACKOFF_MS);
    }

    /// Processes whether the receiver confirmed [`Action::HandOver`].
    pub fn on_handed_over(&mut self, now: TimeMs, transfer: u64, confirmed: bool) -> Vec<Action> {
        let Some(handing_over) = &mut self.handing_over else {
            return Vec::new();
        };
        if handing_over.slot_transfer.transfer != transfer || handing_over.confirmed {
            return Vec::new();
        }
        if confirmed {
            handing_over.confirmed = true;
            self.next_read_at = now;
        } else {
            self.cancel_hand_over(now);
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
        self.accept_row(now, sent_at, row);
        let mut actions = Vec::new();
        actions.extend(self.plan_write(now));
        actions.extend(self.advance(now));
        actions
    }

    /// Plans the next write for the row that was just accepted.
    fn plan_write(&mut self, now: TimeMs) -> Option<Action> {
        let row = self.row.as_ref()?;
        let confirmed = self
            .handing_over
            .as_ref()
            .filter(|handing_over| handing_over.confirmed);
        let input = PlanInput {
            me: &self.me,
            conf: &self.conf,
            now,
            serving: self.is_serving(now),
            stopping: self.conditions.stopping,
            alive: self.conditions.alive.len(),
            claim_all_unowned: self.has_unclaimed_slots(now),
            missing: &self.missing_since,
            intents: &self.intents,
            may_take_over: self.promises.may_take_over(now),
            slot_transfer: confirmed.map(|handing_over| &handing_over.slot_transfer),
        };
        let planned = row_plan::plan(&row.map, &input, &mut self.rng);
        let mut planned = match planned {
            Some(planned) => planned,
            // Only a further write ensures that the lost one can no longer take effect.
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
        log::debug!("claims: writing row change={:x}", planned.map.change);
        Some(Action::WriteRow {
            op,
            expected,
            map: planned.map,
        })
    }

    /// Whether slots have been unowned for two read intervals. The members that they were left for
    /// would have claimed them by then.
    fn has_unclaimed_slots(&self, now: TimeMs) -> bool {
        self.unowned_since
            .is_some_and(|since| now.since(since) >= 2 * self.conf.read_interval_ms)
    }

    /// Whether the node may keep its slots and receive more. A listed member whose backend server
    /// has been down for less than `not_serving_threshold_ms` still counts as serving, unless the
    /// backend server is draining.
    pub(super) fn is_serving(&self, now: TimeMs) -> bool {
        let since = self.not_serving_since;
        let recently =
            since.is_some_and(|since| now.since(since) < self.conf.not_serving_threshold_ms);
        let listed = |row: &Row| row.map.member(self.me.instance).is_some();
        let is_temporary = recently && !self.conditions.draining;
        self.conditions.serving || (is_temporary && self.row.as_ref().is_some_and(listed))
    }

    /// Starts what is due: a read of the row, a hand-over, a round of promises.
    fn advance(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.pending.is_none() && self.next_read_at <= now {
            let op = self.new_op();
            self.pending = Some((op, now, Pending::Read));
            actions.push(Action::ReadRow { op });
        }
        actions.extend(self.start_hand_over(now));
        actions.extend(self.ask_promises(now));
        actions
    }

    fn new_op(&mut self) -> u64 {
        self.next_op += 1;
        self.next_op
    }

    /// Randomises `wait_ms` by up to 10%, so that nodes started together spread out over time.
    fn jittered(&mut self, wait_ms: u64) -> u64 {
        let tenth = wait_ms / 10;
        wait_ms - tenth + self.rng.u64(0..=2 * tenth)
    }
}
