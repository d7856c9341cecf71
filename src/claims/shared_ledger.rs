//! The ledger as shared by the traffic threads. It is protected by a mutex that is held briefly,
//! and it tracks the requests that wait for a call that another request with the same key began.

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

/// The largest number of requests that may wait for the same call. It bounds the memory that a
/// caller with many resends takes.
const MAX_JOINED: usize = 64;
/// Retry delay for requests beyond that number.
const JOIN_RETRY_MS: u64 = 1_000;

/// The end of a call, for the requests that joined it. [`KeyOutcome`] is what the ledger records of
/// it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedCallOutcome {
    /// The call ran. The answer is `None` if it is too large to keep.
    Ran(Option<Arc<KeptAnswer>>),
    /// The call may have run.
    MayHaveRun,
    /// The call was refused before it started.
    NotStarted(Refusal),
}

/// The guard's decision on a keyed call.
#[derive(Debug)]
pub enum KeyedAdmission {
    /// Run the call and report its end to [`RunTicket::settle`].
    Run(RunTicket),
    /// Wait for the call that already runs. The sender always sends an outcome before it is
    /// dropped.
    Join(oneshot::Receiver<KeyedCallOutcome>),
    /// Send the kept answer again.
    Answer(Arc<KeptAnswer>),
    Refuse(Refusal),
}

#[derive(Debug)]
struct Inner {
    ledger: Ledger,
    /// Bounded by the number of running keys, with up to [`MAX_JOINED`] waiters each.
    joined: FastMap<Name, Vec<oneshot::Sender<KeyedCallOutcome>>>,
}

/// A ledger shared by the traffic threads and the control thread.
#[derive(Debug)]
pub struct SharedLedger {
    clock: Clock,
    inner: Mutex<Inner>,
}

impl SharedLedger {
    /// Shares a ledger that takes its times from `clock`.
    pub fn new(clock: Clock, ledger: Ledger) -> Arc<Self> {
        let joined = FastMap::default();
        Arc::new(Self {
            clock,
            inner: Mutex::new(Inner { ledger, joined }),
        })
    }

    /// Decides on a keyed call that has just arrived.
    ///
    /// The time is read before the lock is taken. A pause in between then makes the call seem to
    /// have arrived earlier than it did, which the grace period covers.
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

    /// Runs `work` on the ledger. `now` is read while the lock is held.
    pub fn with<T>(&self, work: impl FnOnce(&mut Ledger, TimeMs) -> T) -> T {
        let mut inner = self.lock();
        let now = self.clock.now();
        work(&mut inner.ledger, now)
    }

    fn settle(&self, key: &Name, outcome: KeyedCallOutcome) {
        let now = self.clock.now();
        let mut inner = self.lock();
        match &outcome {
            KeyedCallOutcome::Ran(answer) => {
                let key_outcome = KeyOutcome::Ran(answer.clone());
                inner.ledger.finish(now, key, key_outcome);
            }
            KeyedCallOutcome::MayHaveRun => inner.ledger.finish(now, key, KeyOutcome::MayHaveRun),
            KeyedCallOutcome::NotStarted(_) => inner.ledger.not_started(key),
        }
        let joined = inner.joined.remove(key);
        drop(inner);
        for waiter in joined.into_iter().flatten() {
            // A closed receiver means that the waiting request has gone.
            let _ = waiter.send(outcome.clone());
        }
    }

    /// Ignores poisoning. After a panic elsewhere the ledger stays usable, because its methods
    /// change one entry at a time. Losing an entry would be worse than keeping an incomplete one.
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

/// Obliges its holder to run one keyed call and report its end.
///
/// Guards against a key that stays in the running state for good because its task was dropped:
/// every resend would wait. Dropping an unsettled ticket reports that the call may have run.
#[derive(Debug)]
pub struct RunTicket {
    ledger: Arc<SharedLedger>,
    key: Name,
    settled: bool,
}

impl RunTicket {
    /// Reports how the call ended.
    pub fn settle(mut self, outcome: KeyedCallOutcome) {
        self.settled = true;
        self.ledger.settle(&self.key, outcome);
    }
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        if !self.settled {
            self.ledger.settle(&self.key, KeyedCallOutcome::MayHaveRun);
        }
    }
}
