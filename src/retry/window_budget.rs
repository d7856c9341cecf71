//! The bound on retries to a service, over sliding windows. It also counts the calls made by
//! retried work.

use std::collections::VecDeque;

use crate::core::TimeMs;
use crate::retry::BudgetShare;
use crate::retry::BudgetUse;
use crate::retry::CountingStart;
use crate::retry::Uncounted;
use crate::retry::bucket_sums::BucketSums;
use crate::retry::bucket_sums::KEPT_BUCKETS;

/// Number of buckets in which a window is counted.
pub(super) const BUCKETS: usize = 20;
/// For so many windows after the first start of the system, a node's first calls are taken for those of
/// the system.
const FIRST_CALLS_WINDOWS: u64 = 2;
/// Pacing: at most the fraction `PACING_SHARE` of a window's allowance may be spent within
/// `PACING_BUCKETS` buckets. A short failure may use a good part of the allowance at once, while a
/// long one has to leave something for the rest of the window.
const PACING_BUCKETS: usize = 2;
const PACING_SHARE: f32 = 0.3;

/// The counts of one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    /// First attempts.
    first: f32,
    /// Retries made by this node, and calls made by work that is itself a retry.
    retried: f32,
}

/// The counts of a budget at one time.
#[derive(Clone, Copy, Debug)]
struct Counts {
    /// How many buckets ago the first call was counted.
    buckets: usize,
    first: BucketSums,
    retried: BucketSums,
}

impl Counts {
    /// The retries in the window that ends now.
    fn spent(&self) -> f32 {
        // One more bucket, because the window begins within the oldest one.
        self.retried.last(BUCKETS + 1)
    }

    /// The first attempts for which retries are granted in the window that began `age` buckets ago:
    /// those in the window that began half a window earlier, as far as it has passed.
    fn first_of_open_window(&self, age: usize) -> f32 {
        const HALF: usize = BUCKETS / 2;
        self.first.last(age + HALF) - self.first.last(age.saturating_sub(HALF))
    }
}

/// Counts first attempts and retries of a node's calls to one service, and decides whether a retry
/// is within the budget.
///
/// In every window, retries may be at most a fixed part of the first attempts. The window that ends
/// when a failure begins is full of calls that needed no retry, so a good part of them can be
/// retried at once. A call made by work that is itself a retry counts as a retry too. Thus a chain
/// of any depth keeps the bound at each of its services, and a service may use all of its budget
/// when the services above it need none.
///
/// Each node keeps the bound for its own calls, so all nodes together keep it without coordination.
/// This holds only if all use one and the same window. If each node used its own best one of
/// several windows, their sum would exceed the best window of the whole system whenever load moves
/// between nodes.
///
/// A window may begin with a failure and end after demand has fallen or moved. If only the window that
/// ends now were checked, retries in that one would be granted for first attempts that it does not
/// contain. So each window that has begun limits the retries in it, by the first attempts of the
/// window that began half a window earlier.
///
/// At the first start of the whole system, no window that began before the first call is limited in this
/// way: it contains the same first attempts as the one that ends now, and half a window earlier there
/// were none. Later, the callers of an entry that gets its first calls have used other entries before,
/// whose budgets still contain those calls.
///
/// A process counts only its own retries, but a predecessor on the same node may have spent its
/// whole allowance in the same window. Until a window has passed, its retries are subtracted. If
/// their number is unknown, only a reserve is allowed.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    share: BudgetShare,
    counting: CountingStart,
    uncounted: Option<Uncounted>,
    /// Oldest first.
    buckets: VecDeque<Bucket>,
    denied: u64,
}

impl WindowBudget {
    /// Creates a budget of which nothing is spent, except by a predecessor.
    pub fn new(share: BudgetShare, counting: CountingStart, uncounted: Option<Uncounted>) -> Self {
        Self {
            share,
            counting,
            uncounted,
            buckets: VecDeque::new(),
            denied: 0,
        }
    }

    /// Replaces what is known of retries by the predecessor.
    pub fn set_uncounted(&mut self, uncounted: Option<Uncounted>) {
        self.uncounted = uncounted;
    }

    /// How long a retry counts in a window of this length, in milliseconds: one bucket longer,
    /// because the window that ends now begins within the oldest one.
    pub fn counted_ms(window_ms: u64) -> u64 {
        window_ms * (BUCKETS as u64 + 1) / BUCKETS as u64
    }

    /// Replaces the share. The counts are kept, so the window must have the same length.
    pub fn set_share(&mut self, share: BudgetShare) {
        debug_assert_eq!(share.window_ms, self.share.window_ms);
        self.share = share;
    }

    /// Records a first attempt. `retried` is the fraction of it that counts as a retry, because the
    /// work that makes the call may itself be one.
    pub fn record_first_attempt(&mut self, now: TimeMs, retried: f32) {
        let bucket = self.bucket(now);
        bucket.first += 1.0 - retried;
        bucket.retried += retried;
    }

    /// Takes a retry out of the budget; false when none is left.
    pub fn try_retry(&mut self, now: TimeMs) -> bool {
        let counts = self.counts(now);
        let allowed = self.allowed(now, &counts);
        let is_spent = counts.spent() + 1.0 > allowed;
        let paced = (allowed * PACING_SHARE).max(1.0);
        if is_spent || counts.retried.last(PACING_BUCKETS) + 1.0 > paced {
            self.denied += 1;
            return false;
        }
        self.bucket(now).retried += 1.0;
        true
    }

    /// Whether retried work that makes calls to the service may begin.
    ///
    /// Those calls count as retries too, but [`Self::try_retry`] is not called for them. If the
    /// budget is already used up, each of them exceeds the bound, so such work has to be refused
    /// before it makes any call.
    pub fn has_remaining(&self, now: TimeMs) -> bool {
        let counts = self.counts(now);
        counts.spent() + 1.0 <= self.allowed(now, &counts)
    }

    /// How much of the budget is used in the window that ends now.
    pub fn used(&self, now: TimeMs) -> BudgetUse {
        let counts = self.counts(now);
        BudgetUse {
            allowed: self.allowed(now, &counts),
            spent: counts.spent(),
            denied: self.denied,
        }
    }

    /// The retries allowed in the window that ends now.
    fn allowed(&self, now: TimeMs, counts: &Counts) -> f32 {
        let of_open_window = |age: usize| {
            let spent_before = counts.spent() - counts.retried.last(age);
            spent_before + self.granted(now, counts.first_of_open_window(age))
        };
        let limited_windows = 1..BUCKETS.min(self.counted_buckets(now, counts) + 1);
        let current = self.granted(now, counts.first.last(BUCKETS));
        limited_windows.map(of_open_window).fold(current, f32::min)
    }

    /// For how many buckets the counts contain all first attempts of this node's callers.
    fn counted_buckets(&self, now: TimeMs, counts: &Counts) -> usize {
        let first_calls_until = self.counting.at + FIRST_CALLS_WINDOWS * self.share.window_ms;
        if self.counting.is_first_start && now < first_calls_until {
            return counts.buckets;
        }
        let since = self.bucket_index(self.counting.at);
        (self.bucket_index(now) + 1).saturating_sub(since) as usize
    }

    /// The retries granted for this number of first attempts.
    fn granted(&self, now: TimeMs, first: f32) -> f32 {
        let granted = first * self.share.ratio + self.share.slack;
        let Some(uncounted) = self.uncounted.filter(|uncounted| now < uncounted.until) else {
            return granted;
        };
        let left = uncounted.retries.map_or(0.0, |retries| granted - retries);
        left.max(first * self.share.reserve_ratio)
    }

    fn counts(&self, now: TimeMs) -> Counts {
        let last = self.bucket_index(now);
        let age = |bucket: &Bucket| last.checked_sub(bucket.index).map(|age| age as usize);
        let sums = |of: fn(&Bucket) -> f32| {
            let buckets = self.buckets.iter();
            BucketSums::new(buckets.filter_map(|bucket| Some((age(bucket)?, of(bucket)))))
        };
        Counts {
            buckets: self.buckets.front().and_then(age).map_or(0, |age| age + 1),
            first: sums(|bucket| bucket.first),
            retried: sums(|bucket| bucket.retried),
        }
    }

    fn bucket_index(&self, now: TimeMs) -> u64 {
        now.0 * BUCKETS as u64 / self.share.window_ms.max(1)
    }

    fn bucket(&mut self, now: TimeMs) -> &mut Bucket {
        let index = self.bucket_index(now);
        while let Some(oldest) = self.buckets.front() {
            if oldest.index + (KEPT_BUCKETS as u64) > index {
                break;
            }
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|newest| newest.index < index)
        {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let newest = self.buckets.len() - 1;
        &mut self.buckets[newest]
    }
}
