//! The bound on requests that are sent once more, over sliding windows and with what repeats bring.

use std::collections::VecDeque;

use crate::core::TimeMs;
use crate::retry::RetryBound;

/// A window is counted in this many parts.
const PARTS: u64 = 20;
/// The part of a window's allowance that may be spent in one part in this of it. A short failure may
/// take a good part at once; a long one has to leave something for the rest of the window.
const PACE_PARTS: u64 = 2;
const PACE_SHARE: f32 = 0.3;

/// One part of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    /// Calls that were sent for the first time.
    first: f32,
    /// Sends beyond the first, here or further up.
    repeated: f32,
}

/// Counts first sends and repeats of a node's calls to one service, and pays for repeats.
///
/// Guards against repeats that add up to more than the system allows: in every window, those beyond
/// the first may be a part of its calls. The window that ends when a failure begins is full of calls
/// that needed none, so a good part of them can be repeated at once. A call made by work that is itself
/// a repeat is one as well, so it is counted as what it is: a chain of any depth keeps the bound at
/// each of its services, and a service may use all of it when those above need none.
///
/// Each node keeps the bound by its own calls, so all together keep it without a word among them. That
/// holds only for one and the same window: were each node to take its own best one of several, their
/// sum would be beyond the best one of the system whenever load moves between nodes.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    /// This node's part.
    share: RetryBound,
    /// Oldest first; one more than a window has.
    parts: VecDeque<Part>,
}

impl WindowBudget {
    /// A budget of which nothing is spent.
    pub fn new(share: RetryBound) -> Self {
        Self {
            share,
            parts: VecDeque::new(),
        }
    }

    /// Changes the bound. What was counted stays counted; with a window of another length counting begins
    /// anew, with calls and repeats alike, so that nothing spent is given twice.
    pub fn set_share(&mut self, share: RetryBound) {
        if share.window_ms != self.share.window_ms {
            self.parts.clear();
        }
        self.share = share;
    }

    /// Notes a call that is sent for the first time. `repeated` is the part of it that is a repeat all
    /// the same, because the work that makes it may be one.
    pub fn record_first_attempt(&mut self, now: TimeMs, repeated: f32) {
        let part = self.part(now);
        part.first += 1.0 - repeated;
        part.repeated += repeated;
    }

    /// Pays for a repeat; false when none is left.
    pub fn try_retry(&mut self, now: TimeMs) -> bool {
        let allowed = self.allowed(now);
        let last = self.number(now);
        let spent_lately = self.sum(last, PACE_PARTS, |part| part.repeated);
        if self.spent(now) + 1.0 > allowed || spent_lately + 1.0 > (allowed * PACE_SHARE).max(1.0) {
            return false;
        }
        self.part(now).repeated += 1.0;
        true
    }

    /// Whether work that is a repeat may begin, which makes calls to the service.
    ///
    /// Guards against repeats that nobody paid for: those calls are repeats as well, and when the bound is
    /// reached already they go beyond it, call by call. It holds because such work is refused before it
    /// makes any.
    pub fn has_remaining(&self, now: TimeMs) -> bool {
        self.spent(now) + 1.0 <= self.allowed(now)
    }

    fn spent(&self, now: TimeMs) -> f32 {
        // One part more: the window that ends now begins within the oldest of them.
        self.sum(self.number(now), PARTS + 1, |part| part.repeated)
    }

    fn allowed(&self, now: TimeMs) -> f32 {
        let first = self.sum(self.number(now), PARTS, |part| part.first);
        first * self.share.ratio + self.share.slack
    }

    /// The sum over `count` parts up to the one with the number `last`.
    fn sum(&self, last: u64, count: u64, of: impl Fn(&Part) -> f32) -> f32 {
        let is_within = |part: &&Part| part.number <= last && part.number + count > last;
        self.parts.iter().filter(is_within).map(of).sum()
    }

    fn number(&self, now: TimeMs) -> u64 {
        now.0 * PARTS / self.share.window_ms.max(1)
    }

    fn part(&mut self, now: TimeMs) -> &mut Part {
        let number = self.number(now);
        while let Some(oldest) = self.parts.front() {
            if oldest.number + PARTS >= number {
                break;
            }
            self.parts.pop_front();
        }
        if self
            .parts
            .back()
            .is_none_or(|newest| newest.number < number)
        {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        let newest = self.parts.len() - 1;
        &mut self.parts[newest]
    }
}
