//! Traces: what callers send and when, generated from a plan, recorded, or read back.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;

use fastrand::Rng;

use crate::core::Name;
use crate::errors::LoadError;
use crate::load::CallKind;
use crate::load::Phase;
use crate::load::Plan;
use crate::load::TraceLine;

/// Calls in the order of their moments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    pub lines: Vec<TraceLine>,
}

impl Trace {
    /// Generates the trace of a plan; the same plan and seed give the same trace.
    ///
    /// Each call falls at a random moment of its own equal share of the phase. Independent moments
    /// would vary the offered load from second to second by more than the 5% that tell a recovered
    /// system from one that is not.
    pub fn generate(plan: &Plan) -> Self {
        let mut rng = Rng::with_seed(plan.seed);
        let mut lines = Vec::new();
        let mut phase_start_ms = 0;
        for phase in &plan.phases {
            for index in 0..phase.call_count() {
                let at_ms = phase_start_ms + moment_of(phase, index, &mut rng);
                let kind = pick_kind(&plan.calls, &mut rng);
                lines.push(line_of(kind, at_ms, lines.len()));
            }
            phase_start_ms += phase.duration_ms;
        }
        lines.sort_by_key(|line| line.at_ms);
        Self { lines }
    }

    /// Reads a trace, one JSON line a call.
    ///
    /// # Errors
    /// When the file cannot be read, or names the first malformed line.
    pub fn read(path: &Path) -> Result<Self, LoadError> {
        let file = File::open(path).map_err(|source| LoadError::read(path, source))?;
        let mut lines = Vec::new();
        for (index, text) in BufReader::new(file).lines().enumerate() {
            let text = text.map_err(|source| LoadError::read(path, source))?;
            let line = serde_json::from_str(&text).map_err(|source| LoadError::TraceLine {
                path: path.to_owned(),
                line: index + 1,
                source,
            })?;
            lines.push(line);
        }
        lines.sort_by_key(|line: &TraceLine| line.at_ms);
        Ok(Self { lines })
    }

    /// Writes the trace, one JSON line a call.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), LoadError> {
        let written = |source| LoadError::write(path, source);
        let mut out = BufWriter::new(File::create(path).map_err(written)?);
        for line in &self.lines {
            let text = serde_json::to_string(line).expect("plain structs always encode");
            writeln!(out, "{text}").map_err(written)?;
        }
        out.flush().map_err(written)
    }

    /// The moment of the last call, in milliseconds.
    pub fn last_ms(&self) -> u64 {
        self.lines.last().map_or(0, |line| line.at_ms)
    }

    /// The classes that occur, sorted by name.
    pub fn classes(&self) -> Vec<Name> {
        let mut classes: Vec<Name> = self.lines.iter().map(|line| line.class.clone()).collect();
        classes.sort();
        classes.dedup();
        classes
    }

    /// Gives every key a prefix. A key that ran in an earlier replay would be answered from a
    /// ledger instead of being run.
    pub fn prefix_keys(&mut self, prefix: &str) {
        for line in &mut self.lines {
            let key = line.key.as_deref();
            line.key = key.map(|key| format!("{prefix}-{key}").into());
        }
    }
}

fn moment_of(phase: &Phase, index: u64, rng: &mut Rng) -> u64 {
    let calls = index as f64 + rng.f64();
    let last_ms = phase.duration_ms - 1;
    (phase.moment_ms(calls) as u64).min(last_ms)
}

fn pick_kind<'a>(kinds: &'a [CallKind], rng: &mut Rng) -> &'a CallKind {
    let sum: f64 = kinds.iter().map(|kind| kind.weight).sum();
    let mut left = rng.f64() * sum;
    for kind in kinds {
        left -= kind.weight;
        if left < 0.0 {
            return kind;
        }
    }
    &kinds[kinds.len() - 1]
}

fn line_of(kind: &CallKind, at_ms: u64, index: usize) -> TraceLine {
    let key = kind
        .non_idempotent
        .then(|| format!("{}-{index}", kind.name).into());
    TraceLine {
        at_ms,
        call: kind.name.clone(),
        class: kind.class.clone(),
        method: kind.method.clone(),
        path: kind.path.clone(),
        key,
        body_bytes: kind.body_bytes,
        deadline_ms: kind.deadline_ms,
        answer: kind.answer,
    }
}
