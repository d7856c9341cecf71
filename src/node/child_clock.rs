//! How long a call waited for calls made on its behalf.

/// Time in which at least one child call was outstanding. It says nothing of the local backend
/// server, so admission leaves it out of its service time.
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

    /// Whether any child call went out.
    pub(super) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// The sum so far, with what is outstanding at `now_us`.
    pub(super) fn total_us(&self, now_us: u64) -> u64 {
        let open_us = if self.outstanding > 0 {
            now_us.saturating_sub(self.since_us)
        } else {
            0
        };
        self.total_us + open_us
    }
}
