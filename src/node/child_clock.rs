//! Measures how long a call waited for its child calls.

/// Time in which at least one child call was outstanding. It does not reflect the speed of the
/// local backend server, so admission excludes it from the service time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ChildClock {
    outstanding: u32,
    since_us: u64,
    total_us: u64,
    has_begun: bool,
}

impl ChildClock {
    pub(super) fn begin(&mut self, now_us: u64) {
        if self.outstanding == 0 {
            self.since_us = now_us;
        }
        self.outstanding += 1;
        self.has_begun = true;
    }

    pub(super) fn end(&mut self, now_us: u64) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if self.outstanding == 0 {
            self.total_us += now_us.saturating_sub(self.since_us);
        }
    }

    /// Whether any child call was made.
    pub(super) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// The total so far, including child calls outstanding at `now_us`.
    pub(super) fn total_us(&self, now_us: u64) -> u64 {
        let open_us = if self.outstanding > 0 {
            now_us.saturating_sub(self.since_us)
        } else {
            0
        };
        self.total_us + open_us
    }
}
