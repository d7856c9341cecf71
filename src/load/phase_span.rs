//! Where a phase lies within a run.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::load::PhaseRole;
use crate::load::Plan;
use crate::load::Trace;

/// A phase by its moments in milliseconds since the start of the run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PhaseSpan {
    pub name: Name,
    pub role: PhaseRole,
    pub start_ms: u64,
    pub end_ms: u64,
}

impl PhaseSpan {
    /// The phases of a plan.
    pub fn of_plan(plan: &Plan) -> Vec<Self> {
        let mut start_ms = 0;
        let span = |phase: &crate::load::Phase| {
            let end_ms = start_ms + phase.duration_ms;
            let span = Self {
                name: phase.name.clone(),
                role: phase.role,
                start_ms,
                end_ms,
            };
            start_ms = end_ms;
            span
        };
        plan.phases.iter().map(span).collect()
    }

    /// A trace without a plan is one ordinary phase.
    pub fn of_trace(trace: &Trace) -> Vec<Self> {
        vec![Self {
            name: "trace".into(),
            role: PhaseRole::Ordinary,
            start_ms: 0,
            end_ms: trace.last_ms() + 1,
        }]
    }

    /// Whether a moment lies in the phase.
    pub fn contains(&self, at_ms: u64) -> bool {
        (self.start_ms..self.end_ms).contains(&at_ms)
    }

    pub fn duration_ms(&self) -> u64 {
        self.end_ms - self.start_ms
    }
}
