//! The retry allotment of one call: a fixed number of further attempts for the whole call tree.
//!
//! Without it, retries multiply down a deep chain: one retry at the edge becomes many further down,
//! and load grows with every hop. An allotment is only moved and never created. A child gets part
//! of what its parent holds, and a child returns at most what it was given. What is lost on the way
//! counts as used. See docs/DESIGN.md, "Retries".

/// The allotment that an unfinished call still holds, and what it has handed out to its children.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allotment {
    left: u16,
    handed_out: u16,
}

impl Allotment {
    /// Creates the allotment of a call that arrived with `granted` further attempts.
    pub fn new(granted: u16) -> Self {
        Self {
            left: granted,
            handed_out: 0,
        }
    }

    /// What can still be spent or handed out.
    pub fn left(&self) -> u16 {
        self.left
    }

    /// Spends one further attempt of this call; false when none is left.
    pub fn spend(&mut self) -> bool {
        if self.left == 0 {
            return false;
        }
        self.left -= 1;
        true
    }

    /// Hands a share to a child call: half of what is left, rounded up, so that the first child can
    /// recover and later siblings still get something.
    pub fn hand_out(&mut self) -> u16 {
        let share = self.left.div_ceil(2);
        self.left -= share;
        self.handed_out += share;
        share
    }

    /// Takes back what a child did not use. `share` is what [`Self::hand_out`] gave it. A child
    /// cannot return more than its share.
    pub fn take_back(&mut self, share: u16, unused: u16) {
        let unused = unused.min(share).min(self.handed_out);
        self.handed_out -= share.min(self.handed_out);
        self.left += unused;
    }
}
