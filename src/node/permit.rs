//! The permit of one call to run at the local backend server.

use std::sync::Arc;

use crate::admission::CallOutcome;
use crate::admission::Completion;
use crate::node::gate::Gate;

/// Counts as in flight until it is dropped, however the call ends.
pub(crate) struct Permit {
    gate: Arc<Gate>,
    ticket: u64,
    /// When the call was admitted, in microseconds.
    pub(crate) since_us: u64,
    completion: Completion,
}

impl Permit {
    pub(crate) fn new(gate: Arc<Gate>, ticket: u64, since_us: u64) -> Self {
        Self {
            gate,
            ticket,
            since_us,
            completion: Completion {
                service_us: 0,
                child_us: 0,
                outcome: CallOutcome::Cancelled,
            },
        }
    }

    /// Sets how the call ended. Without it the call counts as cancelled.
    pub(crate) fn set_completion(&mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.complete(self.ticket, self.completion);
    }
}
