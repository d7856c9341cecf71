//! Keeps the lease and the slots of one node: a pure state machine over the service's row.
//!
//! Guards against two processes that run calls of the same slot at once, each holding the other
//! for gone: a charge would be made twice, once by either. It holds because an owner relies on
//! its slots only for a lease after a sign that nobody had begun to take them over, and whoever
//! takes over announces it first and then waits longer than that lease. The argument in full,
//! with pauses, lost answers and late writes, is in docs/AT_MOST_ONCE.md.

use crate::claims::Action;
use crate::claims::HeldSlot;
use crate::claims::Holding;
use crate::claims::LeaseConf;
use crate::claims::LedgerTransfer;
use crate::claims::Member;
use crate::claims::OtherOwner;
use crate::claims::ReadResult;
use crate::claims::ResendLimits;
use crate::claims::SLOTS;
use crate::claims::Situation;
use crate::claims::SlotMap;
use crate::claims::WriteResult;
use crate::claims::fair_share::candidates;
use crate::claims::fair_share::next_gift;
use crate::claims::held_slots;
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
/// How many leases pass before slots are announced again whose owner turned out to live.
const REBUFFED_LEASES: u64 = 4;
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
struct Row {
    version: Option<u64>,
    map: SlotMap,
}

#[derive(Clone, Debug)]
struct Write {
    map: SlotMap,
    expected: Option<u64>,
    takes_over: bool,
}

#[derive(Clone, Debug)]
enum Pending {
    Read,
    Write(Box<Write>),
}

/// A write whose answer was lost and that may still take effect.
#[derive(Clone, Copy, Debug)]
struct Unresolved {
    expected: Option<u64>,
    takes_over: bool,
}

/// Slots on their way to another member.
#[derive(Clone, Debug)]
struct Giving {
    given: Given,
    confirmed: bool,
}

/// The lease keeper of one node. Call [`Self::tick`] several times a second.
#[derive(Debug)]
pub struct LeaseKeeper {
    me: Identity,
    conf: LeaseConf,
    limits: ResendLimits,
    rng: fastrand::Rng,
    situation: Situation,
    row: Option<Row>,
    pending: Option<(u64, TimeMs, Pending)>,
    unresolved: Option<Unresolved>,
    next_op: u64,
    next_read_at: TimeMs,
    /// When the last sign was asked for that nobody takes over, out of the row itself.
    clean_at: Option<TimeMs>,
    promises: Promises,
    /// Own intents in the row and when each was seen to be there.
    intents: FastMap<u64, TimeMs>,
    missing_since: FastMap<u64, TimeMs>,
    not_serving_since: Option<TimeMs>,
    unowned_since: Option<TimeMs>,
    giving: Option<Giving>,
    give_at: TimeMs,
    transfers: u32,
    received: Vec<Received>,
    holding: Holding,
}

impl LeaseKeeper {
    /// A keeper that holds nothing yet.
    pub fn new(me: Identity, conf: LeaseConf, limits: ResendLimits, rng: fastrand::Rng) -> Self {
        Self {
            me,
            conf,
            limits,
            rng,
            situation: Situation::default(),
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
            giving: None,
            give_at: TimeMs(0),
            transfers: 0,
            received: Vec::new(),
            holding: Holding::nothing(),
        }
    }

    /// What the ledger may rely on. It has to be handed to the ledger after every call of the
    /// keeper and before any of the actions is carried out.
    pub fn holding(&self) -> &Holding {
        &self.holding
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
            && self.holding.count() == 0
    }

    /// Moves on with time and with what the node knows of its surroundings.
    pub fn tick(&mut self, now: TimeMs, situation: Situation) -> Vec<Action> {
        if situation.serving || situation.stopping {
            self.not_serving_since = None;
        } else {
            self.not_serving_since.get_or_insert(now);
        }
        if situation.stopping && !self.situation.stopping {
            self.next_read_at = now;
        }
        self.situation = situation;
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
        if until > self.holding.lease_until {
            log::debug!("claims: lease kept by promises now={now} until={until}");
            self.holding.lease_until = until;
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
        self.promises.promise(now, terms, self.situation.stopping)
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
        let Some(giving) = &mut self.giving else {
            return Vec::new();
        };
        if giving.given.transfer != transfer || giving.confirmed {
            return Vec::new();
        }
        if confirmed {
            giving.confirmed = true;
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

    /// Takes in a row that was true at some moment after `sent_at`, and plans the next write.
    fn accept(&mut self, now: TimeMs, sent_at: TimeMs, row: Row) {
        let older = self
            .row
            .as_ref()
            .is_some_and(|known| known.version > row.version);
        if older {
            return;
        }
        if self
            .unresolved
            .is_some_and(|lost| lost.expected != row.version)
        {
            // The row has moved on: the lost write took effect, or it never will.
            self.unresolved = None;
        }
        let listed = row.map.member(self.me.instance).is_some();
        if listed && !row.map.is_threatened(self.me.instance) {
            let until = sent_at + self.conf.terms.lease_ms;
            self.holding.lease_until = self.holding.lease_until.max(until);
            self.clean_at = self.clean_at.max(Some(sent_at));
        }
        self.unowned_since = if row.map.unowned().is_empty() {
            None
        } else {
            self.unowned_since.or(Some(now))
        };
        self.note_intents(now, &row.map);
        self.note_given(now, &row.map);
        self.row = Some(row);
        self.derive_holding(now);
        self.note_missing(now);
    }

    fn note_intents(&mut self, now: TimeMs, map: &SlotMap) {
        let me = self.me.instance;
        self.note_rebuffs(now, map);
        let own = map.intents.iter().filter(|intent| intent.by == me);
        let seen: FastMap<u64, TimeMs> = own
            .map(|intent| {
                let at = self.intents.get(&intent.id).copied();
                (intent.id, at.unwrap_or(now))
            })
            .collect();
        self.intents = seen;
    }

    /// An own intent that is gone while its victim is listed was removed by the victim: it lives,
    /// though not for this node. To announce again at once would only make both write in turn.
    fn note_rebuffs(&mut self, now: TimeMs, map: &SlotMap) {
        let Some(before) = &self.row else {
            return;
        };
        let me = self.me.instance;
        for intent in before.map.intents.iter().filter(|intent| intent.by == me) {
            let is_gone = !map.intents.iter().any(|other| other.id == intent.id);
            if is_gone && let Some(since) = self.missing_since.get_mut(&intent.victim) {
                *since = now + REBUFFED_LEASES * self.conf.terms.lease_ms;
            }
        }
    }

    /// Ends a hand-over that the row shows to be done or impossible.
    fn note_given(&mut self, now: TimeMs, map: &SlotMap) {
        let Some(giving) = &self.giving else {
            return;
        };
        let me = self.me.instance;
        let still_own = |slot: &usize| map.slots[*slot].owner == Some(me);
        if !giving.given.slots.iter().any(still_own) {
            self.giving = None;
            self.give_at = now;
            return;
        }
        let Some(receiver) = giving.given.receiver else {
            return;
        };
        if map.member(receiver).is_none_or(|member| !member.serving) {
            self.cancel_giving(now);
        }
    }

    /// Keeps the slots after all. Only while no write that gives them away can take effect: the
    /// receiver would own them by it while this process goes on.
    fn cancel_giving(&mut self, now: TimeMs) {
        let confirmed = self.giving.as_ref().is_some_and(|giving| giving.confirmed);
        if confirmed && (self.pending_write() || self.unresolved.is_some()) {
            return;
        }
        self.giving = None;
        self.give_at = now + self.conf.give_again_ms;
        self.derive_holding(now);
    }

    fn pending_write(&self) -> bool {
        matches!(self.pending, Some((_, _, Pending::Write(_))))
    }

    fn derive_holding(&mut self, now: TimeMs) {
        let Some(row) = &self.row else {
            return;
        };
        let me = self.me.instance;
        let given: &[usize] = self
            .giving
            .as_ref()
            .map_or(&[], |giving| &giving.given.slots);
        for slot in 0..SLOTS {
            let entry = row.map.slots[slot];
            let before = self.holding.held[slot];
            let held = held_slots::held(slot, entry, me, before, &self.received, now, self.limits);
            self.holding.held[slot] = held.map(|held| HeldSlot {
                giving: given.contains(&slot),
                ..held
            });
            let other = entry.owner.filter(|owner| *owner != me);
            let member = other.and_then(|owner| row.map.member(owner));
            self.holding.others[slot] = member.map(|member| OtherOwner {
                node: member.node.clone(),
                epoch: entry.epoch,
            });
        }
    }

    /// Notes since when members are gone from the view. A member whose node runs as another
    /// process that joined later is gone, too.
    fn note_missing(&mut self, now: TimeMs) {
        let Some(row) = &self.row else {
            return;
        };
        let map = &row.map;
        let missing = |member: &&Member| {
            let replaced = map
                .members
                .iter()
                .any(|other| other.node == member.node && other.added > member.added);
            let is_me = member.instance == self.me.instance;
            let was_me = member.node == self.me.node && !is_me;
            !is_me && (replaced || was_me || !self.situation.alive.contains(&member.node))
        };
        let missing = map.members.iter().filter(missing);
        self.missing_since = missing
            .map(|member| {
                let since = self.missing_since.get(&member.instance).copied();
                (member.instance, since.unwrap_or(now))
            })
            .collect();
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
        let confirmed = self.giving.as_ref().filter(|giving| giving.confirmed);
        let input = PlanInput {
            me: &self.me,
            conf: &self.conf,
            now,
            serving: self.is_serving(now),
            stopping: self.situation.stopping,
            alive: self.situation.alive.len(),
            claims_all: self.are_slots_left_over(now),
            missing: &self.missing_since,
            intents: &self.intents,
            may_take_over: self.promises.may_take_over(now),
            given: confirmed.map(|giving| &giving.given),
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

    fn is_serving(&self, now: TimeMs) -> bool {
        let since = self.not_serving_since;
        let lately = since.is_some_and(|since| now.since(since) < self.conf.not_serving_ms);
        let listed = |row: &Row| row.map.member(self.me.instance).is_some();
        let passing = lately && !self.situation.draining;
        self.situation.serving || (passing && self.row.as_ref().is_some_and(listed))
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

    fn start_giving(&mut self, now: TimeMs) -> Option<Action> {
        if self.giving.is_some() || now < self.give_at || self.pending_write() {
            return None;
        }
        let clean_at = self.clean_at?;
        if self.unresolved.is_some() || now.since(clean_at) > 2 * self.conf.read_every_ms {
            return None;
        }
        let map = &self.row.as_ref()?.map;
        let mut slots = map.slots_of(self.me.instance);
        let stopping = self.situation.stopping;
        let leaving = stopping || !self.is_serving(now);
        let alive = |instance: u64| !self.missing_since.contains_key(&instance);
        let others = candidates(map, alive);
        let gift = next_gift(&others, self.me.instance, slots.len(), leaving);
        let given = match gift {
            Some((receiver, count)) => {
                slots.drain(..slots.len() - count);
                self.new_given(Some(receiver), slots)
            }
            None if stopping && !slots.is_empty() => self.new_given(None, slots),
            None => return None,
        };
        self.begin_giving(now, given)
    }

    fn new_given(&mut self, receiver: Option<u64>, slots: Vec<usize>) -> Given {
        self.transfers += 1;
        Given {
            transfer: (self.me.instance << 32) | u64::from(self.transfers),
            receiver,
            slots,
        }
    }

    fn begin_giving(&mut self, now: TimeMs, given: Given) -> Option<Action> {
        let member = given
            .receiver
            .and_then(|receiver| self.row.as_ref()?.map.member(receiver));
        let action = member.map(|member| Action::HandOver {
            transfer: given.transfer,
            node: member.node.clone(),
            member: member.instance,
            slots: given.slots.clone(),
        });
        // Without a receiver the slots are released; the next owner then has no ledger.
        let confirmed = action.is_none();
        if confirmed {
            self.next_read_at = now;
        }
        self.giving = Some(Giving { given, confirmed });
        self.derive_holding(now);
        action
    }

    /// Asks the members for promises when the table has not answered for a while.
    fn ask_promises(&mut self, now: TimeMs) -> Vec<Action> {
        let (Some(clean_at), Some(row)) = (self.clean_at, &self.row) else {
            return Vec::new();
        };
        let waiting = now.since(clean_at) < self.conf.promises_after_ms;
        if waiting || self.holding.count() == 0 || !self.promises.is_due(now) {
            return Vec::new();
        }
        // Members of other regions may only take over by the long way, which outlasts promises.
        let asked = row.map.members.iter().filter(|member| {
            member.instance != self.me.instance && member.region == self.me.region
        });
        let members: Vec<(u64, Name)> = asked
            .map(|member| (member.instance, member.node.clone()))
            .collect();
        let next_at = now + self.conf.promises_every_ms;
        let (round, to_ask) = self.promises.start_round(now, next_at, members);
        // With nobody to ask there is nobody who could take over by the short way.
        let nobody = Promise::Granted { hold_ms: u64::MAX };
        self.on_promise(now, round, self.me.instance, &nobody);
        let ask = |(member, node)| Action::AskPromise {
            round,
            node,
            member,
        };
        to_ask.into_iter().map(ask).collect()
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
