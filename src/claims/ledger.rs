//! Records in memory the keys that this guard ran, and decides on every keyed call.
//!
//! Guards against a call that runs twice because its caller sent it again: the caller would see two
//! charges for one order. A key starts only if it is unseen, that is, not in the ledger, and only
//! while the ledger is known to contain every key of its slot that can still be sent again. The
//! lease, the grace period and the stamp ensure this; docs/AT_MOST_ONCE.md has the argument.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::claims::KeyOutcome;
use crate::claims::KeyState;
use crate::claims::KeyUpdate;
use crate::claims::LedgerEntry;
use crate::claims::MovedKey;
use crate::claims::MovedState;
use crate::claims::ResendLimits;
use crate::claims::SLOT_COUNT;
use crate::claims::SlotLease;
use crate::claims::slot_of;
use crate::control::KeptAnswer;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::RunState;
use crate::core::TimeMs;
use crate::core::stable_hash;
use crate::wire::OwnerHint;

/// Retry delay while a call of the key runs at the slot's former owner.
const RUNNING_ELSEWHERE_RETRY_MS: u64 = 1_000;
/// Retry delay when this process does not hold the slot or its lease has lapsed.
const OWNER_RETRY_MS: u64 = 1_000;
/// Retry delay when the ledger is full.
const FULL_RETRY_MS: u64 = 5_000;

/// Bounds on the ledger's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerBounds {
    pub max_keys: usize,
    pub max_answer_bytes: usize,
}

impl Default for LedgerBounds {
    fn default() -> Self {
        Self {
            max_keys: 60_000,
            max_answer_bytes: 16 << 20,
        }
    }
}

/// A keyed call as it arrives at the guard.
#[derive(Clone, Debug)]
pub struct KeyedCall<'a> {
    pub key: &'a Name,
    /// Hash of the request content. A known key with another hash is refused.
    pub fingerprint: u64,
    /// The stamp from the call header.
    pub stamp: u64,
    /// The key has certainly never been sent before, so it may start during a grace period.
    pub first_sending: bool,
}

/// The ledger's decision on a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Run the call, and report its end to [`Ledger::finish`] or [`Ledger::not_started`].
    Run,
    /// A call of the key already waits or runs. Answer this request with the result of that call.
    Join,
    /// The call ran. Send the kept answer again.
    Answer(Arc<KeptAnswer>),
    /// Refuse the call. The run state in the refusal covers all attempts of the key.
    Refuse(Refusal),
}

/// The ledger of one guard, for one service.
#[derive(Debug)]
pub struct Ledger {
    pub(super) service: Name,
    pub(super) instance: u64,
    pub(super) bounds: LedgerBounds,
    pub(super) limits: ResendLimits,
    pub(super) slot_lease: SlotLease,
    pub(super) keys: FastMap<Name, LedgerEntry>,
    /// Keys whose calls do not run here, in the order in which they expire.
    pub(super) expiry_queue: VecDeque<(TimeMs, Name)>,
    /// Keys with a kept answer and when each answer is dropped, the oldest first.
    answers: VecDeque<(TimeMs, Name)>,
    answer_bytes: usize,
    pub(super) pending_updates: Vec<KeyUpdate>,
}

impl Ledger {
    /// An empty ledger that holds no slot. `instance` identifies this process.
    pub fn new(service: Name, instance: u64, bounds: LedgerBounds, limits: ResendLimits) -> Self {
        Self {
            service,
            instance,
            bounds,
            limits,
            slot_lease: SlotLease::none_held(),
            keys: FastMap::default(),
            expiry_queue: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            pending_updates: Vec::new(),
        }
    }

    /// Decides on a keyed call that arrived at `now`.
    pub fn begin(&mut self, now: TimeMs, call: &KeyedCall<'_>) -> KeyDecision {
        if let Some(entry) = self.keys.get(call.key) {
            return decide_seen_key(entry, call.fingerprint);
        }
        if let Some(refusal) = self.refusal_for_unseen(now, call) {
            return KeyDecision::Refuse(refusal);
        }
        self.sweep(now);
        if self.keys.len() >= self.bounds.max_keys {
            return refuse_not_run(RefusalReason::LedgerFull, FULL_RETRY_MS);
        }
        let entry = LedgerEntry {
            fingerprint: call.fingerprint,
            state: KeyState::Running { moved_to: None },
            expires: now,
        };
        self.keys.insert(call.key.clone(), entry);
        KeyDecision::Run
    }

    /// The refusal for an unseen key if this process cannot rule out that the key ran before.
    fn refusal_for_unseen(&self, now: TimeMs, call: &KeyedCall<'_>) -> Option<Refusal> {
        let slot = slot_of(&self.service, call.key);
        let held = self.slot_lease.held[slot].filter(|held| !held.handing_over);
        let Some(held) = held else {
            return Some(Refusal::unknown(RefusalReason::NotOwner, OWNER_RETRY_MS));
        };
        if now >= self.slot_lease.lease_until {
            return Some(Refusal::unknown(RefusalReason::LeaseLapsed, OWNER_RETRY_MS));
        }
        if now < held.grace_until && !call.first_sending {
            let left_ms = held.grace_until.since(now);
            let jitter_ms = retry_jitter_ms(call.key, left_ms / 4);
            let refusal = Refusal::unknown(RefusalReason::GracePeriod, left_ms + jitter_ms);
            return Some(refusal);
        }
        if !self.is_fresh(now, call.stamp) {
            return Some(Refusal::unknown(RefusalReason::StaleAttempt, 0));
        }
        None
    }

    /// Records that the call of `key` ended at `now`.
    pub fn finish(&mut self, now: TimeMs, key: &Name, outcome: KeyOutcome) {
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        let KeyState::Running { moved_to } = &entry.state else {
            return;
        };
        let moved_to = moved_to.clone();
        entry.expires = now + self.limits.retention_ms();
        entry.state = match outcome {
            KeyOutcome::Ran(answer) => KeyState::Ran { answer },
            KeyOutcome::MayHaveRun => KeyState::MayHaveRun,
        };
        self.expiry_queue.push_back((entry.expires, key.clone()));
        if let Some(to) = moved_to {
            let key = self.moved_key(now, key);
            self.pending_updates
                .extend(key.map(|key| KeyUpdate { to, key }));
        }
        self.keep_answer(now, key);
    }

    /// Records that the call of `key` was accepted but certainly never started. The key may run
    /// again.
    pub fn not_started(&mut self, key: &Name) {
        let Some(entry) = self.keys.get(key) else {
            return;
        };
        let KeyState::Running { moved_to } = &entry.state else {
            return;
        };
        if let Some(to) = moved_to.clone() {
            let key = MovedKey {
                key: key.clone(),
                fingerprint: entry.fingerprint,
                state: MovedState::NotStarted,
                keep_ms: 0,
                answer: None,
            };
            self.pending_updates.push(KeyUpdate { to, key });
        }
        self.keys.remove(key);
    }

    /// Replaces the slot lease. All later decisions use it.
    pub fn set_slot_lease(&mut self, slot_lease: SlotLease) {
        self.slot_lease = slot_lease;
    }

    /// The present slot lease.
    pub fn slot_lease(&self) -> &SlotLease {
        &self.slot_lease
    }

    /// Sets the limits after a preset with another resend window came into force.
    pub fn set_limits(&mut self, limits: ResendLimits) {
        self.limits = limits;
    }

    /// The limits in use.
    pub fn limits(&self) -> ResendLimits {
        self.limits
    }

    /// The stamp for `now`. An attempt that carries it was sent after the stamp was issued. The
    /// lowest bit of the instance is set, because the stamp 0 means that there is none.
    pub fn stamp(&self, now: TimeMs) -> u64 {
        let period = now.0 / self.limits.stamp_period_ms();
        ((self.instance | 1) << 32) | (period & 0xffff_ffff)
    }

    /// Guards against an attempt that a paused entry or a recovered connection delivers after its
    /// key was removed: the call would run a second time. An attempt is fresh only if its sender
    /// received the stamp within the last two stamp periods.
    fn is_fresh(&self, now: TimeMs, stamp: u64) -> bool {
        let present = self.stamp(now);
        let before = self.stamp(now - self.limits.stamp_period_ms());
        stamp == present || stamp == before
    }

    /// The owner of the key's slot that an answer should name.
    pub fn owner_hint(&self, now: TimeMs, own_node: &Name, key: &str) -> Option<OwnerHint> {
        let slot = slot_of(&self.service, key);
        if let Some(held) = self.slot_lease.held[slot].filter(|held| !held.handing_over) {
            return Some(OwnerHint {
                node: own_node.clone(),
                epoch: held.epoch,
                stamp: self.stamp(now),
            });
        }
        self.slot_lease.others[slot]
            .as_ref()
            .map(|other| OwnerHint {
                node: other.node.clone(),
                epoch: other.epoch,
                stamp: 0,
            })
    }

    /// The number of keys in the ledger.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the ledger contains no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Total size of the kept answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Removes expired keys and answers. A key is never removed before it expires, even if the
    /// ledger is full. Otherwise a resend of it would run a second time.
    pub fn sweep(&mut self, now: TimeMs) {
        while let Some((expires, key)) = self.expiry_queue.front() {
            if *expires > now {
                break;
            }
            let expired = self
                .keys
                .get(key)
                .is_some_and(|entry| entry.expires == *expires && may_expire(&entry.state));
            if expired {
                self.answer_bytes -= answer_size(&self.keys[key].state);
                self.keys.remove(key);
            }
            self.expiry_queue.pop_front();
        }
        while let Some((drop_at, _)) = self.answers.front() {
            if *drop_at > now && self.answer_bytes <= self.bounds.max_answer_bytes {
                break;
            }
            self.drop_oldest_answer();
        }
    }

    pub(super) fn keep_answer(&mut self, now: TimeMs, key: &Name) {
        let bytes = self
            .keys
            .get(key)
            .map_or(0, |entry| answer_size(&entry.state));
        if bytes == 0 {
            return;
        }
        self.answer_bytes += bytes;
        let drop_at = now + self.limits.answer_ms();
        self.answers.push_back((drop_at, key.clone()));
        while self.answer_bytes > self.bounds.max_answer_bytes {
            self.drop_oldest_answer();
        }
    }

    fn drop_oldest_answer(&mut self) {
        let Some((_, key)) = self.answers.pop_front() else {
            return;
        };
        if let Some(entry) = self.keys.get_mut(&key) {
            self.answer_bytes -= answer_size(&entry.state);
            if let KeyState::Ran { answer } = &mut entry.state {
                *answer = None;
            }
        }
    }

    /// The number of slots in which an unseen key would be admitted at `now`, for status and
    /// metrics.
    pub fn open_slots(&self, now: TimeMs) -> usize {
        if now >= self.slot_lease.lease_until {
            return 0;
        }
        let open = |slot: &usize| {
            let held = self.slot_lease.held[*slot];
            held.is_some_and(|held| !held.handing_over && now >= held.grace_until)
        };
        (0..SLOT_COUNT).filter(open).count()
    }
}

fn decide_seen_key(entry: &LedgerEntry, fingerprint: u64) -> KeyDecision {
    if entry.fingerprint != fingerprint {
        return refuse_unknown(RefusalReason::KeyMismatch, 0);
    }
    match &entry.state {
        KeyState::Running { .. } => KeyDecision::Join,
        KeyState::RunningElsewhere { .. } => {
            refuse_unknown(RefusalReason::AlreadyRan, RUNNING_ELSEWHERE_RETRY_MS)
        }
        KeyState::Ran {
            answer: Some(answer),
        } => KeyDecision::Answer(answer.clone()),
        KeyState::Ran { answer: None } => KeyDecision::Refuse(Refusal {
            reason: RefusalReason::AlreadyRan,
            run_state: RunState::Ran,
            retry_after_ms: 0,
        }),
        KeyState::MayHaveRun => refuse_unknown(RefusalReason::AlreadyRan, 0),
    }
}

fn refuse_unknown(reason: RefusalReason, retry_after_ms: u64) -> KeyDecision {
    KeyDecision::Refuse(Refusal::unknown(reason, retry_after_ms))
}

fn refuse_not_run(reason: RefusalReason, retry_after_ms: u64) -> KeyDecision {
    KeyDecision::Refuse(Refusal::not_run(reason, retry_after_ms))
}

fn may_expire(state: &KeyState) -> bool {
    !matches!(state, KeyState::Running { .. })
}

fn answer_size(state: &KeyState) -> usize {
    match state {
        KeyState::Ran {
            answer: Some(answer),
        } => {
            let headers = answer.headers.iter();
            let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
            // An empty answer counts one byte, because 0 means that no answer is kept.
            answer.body.len() + header_bytes + 1
        }
        _ => 0,
    }
}

/// A delay in 0..=`up_to_ms` that depends on the key. It spreads out the callers that would
/// otherwise all retry at the end of the grace period.
fn retry_jitter_ms(key: &str, up_to_ms: u64) -> u64 {
    let hash = stable_hash(key.bytes());
    hash % (up_to_ms + 1)
}
