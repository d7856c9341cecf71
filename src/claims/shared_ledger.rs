//! The ledger as traffic threads use it: behind a short mutex, with those who wait for a call that
//! another request with the same key began.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use tokio::sync::oneshot;

use crate::claims::KeyDecision;
use crate::claims::KeyOutcome;
use crate::claims::KeyedCall;
use crate::claims::Ledger;
use crate::control::KeptAnswer;
use crate::core::Clock;
use crate::core::FastMap;
use crate::core::Name;
use crate::core::Refusal;
use crate::core::RefusalReason;
use crate::core::TimeMs;

/// How many requests may wait for the same call; a caller that resends hard is bounded by it.
const MAX_JOINED: usize = 64;
/// When to come back for those beyond.
const JOIN_RETRY_MS: u64 = 1_000;

/// How a call ended, for the requests that joined it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It ran; the answer is `None` when it is too large to keep.
    Ran(Option<Arc<KeptAnswer>>),
    /// It may have run.
    MayHaveRun,
    /// It was refused before it started.
    NotStarted(Refusal),
}

/// What a guard does with a keyed call.
#[derive(Debug)]
pub enum KeyedAdmission {
    /// Run it and settle the ticket.
    Run(RunTicket),
    /// Wait for the call that runs already. The sender is never dropped without a word.
    Join(oneshot::Receiver<CallOutcome>),
    /// Repeat the answer.
    Answer(Arc<KeptAnswer>),
    Refuse(Refusal),
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    /// Bounded by the running keys of the ledger and [`MAX_JOINED`] each.
    joined: FastMap<Name, Vec<oneshot::Sender<CallOutcome>>>,
}

/// A ledger shared by the traffic threads and the control thread.
#[derive(Debug)]
pub struct SharedLedger {
    clock: Clock,
    inner: Mutex<Inner>,
}

impl SharedLedger {
    /// Shares a ledger whose times are those of `clock`.
    pub fn new(clock: Clock, ledger: Ledger) -> Arc<Self> {
        let joined = FastMap::default();
        Arc::new(Self {
            clock,
            inner: Mutex::new(Inner { ledger, joined }),
        })
    }

    /// Decides on a keyed call that has just arrived.
    ///
    /// The time is read before the ledger is asked, never after: a pause in between then makes
    /// the call look older than it is, which the grace period covers.
    pub fn begin(self: &Arc<Self>, call: &KeyedCall<'_>) -> KeyedAdmission {
        let now = self.clock.now();
        let mut inner = self.lock();
        match inner.ledger.begin(now, call) {
            KeyDecision::Run => KeyedAdmission::Run(RunTicket {
                ledger: self.clone(),
                key: call.key.clone(),
                settled: false,
            }),
            KeyDecision::Join => join(&mut inner, call.key),
            KeyDecision::Answer(answer) => KeyedAdmission::Answer(answer),
            KeyDecision::Refuse(refusal) => KeyedAdmission::Refuse(refusal),
        }
    }

    /// Works on the ledger itself; `now` is the time at which the lock was held.
    pub fn with<T>(&self, work: impl FnOnce(&mut Ledger, TimeMs) -> T) -> T {
        let mut inner = self.lock();
        let now = self.clock.now();
        work(&mut inner.ledger, now)
    }

    fn settle(&self, key: &Name, settled: CallOutcome) {
        let now = self.clock.now();
        let mut inner = self.lock();
        match &settled {
            CallOutcome::Ran(answer) => {
                let outcome = KeyOutcome::Ran(answer.clone());
                inner.ledger.finish(now, key, outcome);
            }
            CallOutcome::MayHaveRun => inner.ledger.finish(now, key, KeyOutcome::MayHaveRun),
            CallOutcome::NotStarted(_) => inner.ledger.not_started(key),
        }
        let joined = inner.joined.remove(key);
        drop(inner);
        for waiter in joined.into_iter().flatten() {
            // A waiter that has gone away needs no answer.
            let _ = waiter.send(settled.clone());
        }
    }

    /// A panic elsewhere leaves the ledger usable: its methods change one entry at a time, and a
    /// lost entry would be worse than one that says too little.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn join(inner: &mut Inner, key: &Name) -> KeyedAdmission {
    let waiters = inner.joined.entry(key.clone()).or_default();
    waiters.retain(|waiter| !waiter.is_closed());
    if waiters.len() >= MAX_JOINED {
        let reason = RefusalReason::AlreadyRan;
        return KeyedAdmission::Refuse(Refusal::unknown(reason, JOIN_RETRY_MS));
    }
    let (sender, receiver) = oneshot::channel();
    waiters.push(sender);
    KeyedAdmission::Join(receiver)
}

/// The right and the duty to run one keyed call.
///
/// Guards against a key that stays running for good because its task was dropped: every resend
/// would wait. It holds because dropping the ticket reports that the call may have run.
#[derive(Debug)]
pub struct RunTicket {
    ledger: Arc<SharedLedger>,
    key: Name,
    settled: bool,
}

impl RunTicket {
    /// Reports how the call ended.
    pub fn settle(mut self, settled: CallOutcome) {
        self.settled = true;
        self.ledger.settle(&self.key, settled);
    }
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        if !self.settled {
            self.ledger.settle(&self.key, CallOutcome::MayHaveRun);
        }
    }
}
