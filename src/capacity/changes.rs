//! How long it takes until everybody knows: a death, a planned stop, a switched preset.

use serde::Deserialize;
use serde::Serialize;

use crate::capacity::Fleet;
use crate::capacity::Spread;
use crate::errors::CapacityError;

const MEMBERS: &str = "sassafrasgap_members";
const DEAD: &str = "state=\"dead\"";
const SUSPECT: &str = "state=\"suspect\"";
const DRAINING: &str = "state=\"draining\"";
const LEFT: &str = "state=\"left\"";
/// Longer than anybody would wait.
const LIMIT_MS: u64 = 60_000;

/// Times until each of the other nodes knows, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeFigures {
    /// Until a killed node is suspected or dead.
    pub suspect_ms: Spread,
    /// Until a killed node is taken to be dead.
    pub dead_ms: Spread,
    /// Until a draining node gets no new work.
    pub drain_ms: Spread,
}

impl ChangeFigures {
    /// Kills and drains as many nodes as `repeats` says, one after the other.
    ///
    /// # Errors
    /// When a node does not answer or a change is not known in time.
    pub async fn measure(fleet: &mut Fleet, repeats: usize) -> Result<Self, CapacityError> {
        let mut suspect_ms = Vec::new();
        let mut dead_ms = Vec::new();
        let mut drain_ms = Vec::new();
        for repeat in 0..repeats {
            let gone = repeat as f64;
            let (suspected, dead) = kill(fleet, gone).await?;
            suspect_ms.extend(suspected);
            dead_ms.extend(dead);
        }
        for repeat in 0..repeats {
            drain_ms.extend(drain(fleet, repeat).await?);
        }
        Ok(Self {
            suspect_ms: Spread::of(&suspect_ms),
            dead_ms: Spread::of(&dead_ms),
            drain_ms: Spread::of(&drain_ms),
        })
    }
}

/// Kills the last node that runs; `gone` have been killed before.
async fn kill(fleet: &mut Fleet, gone: f64) -> Result<(Vec<f64>, Vec<f64>), CapacityError> {
    let mut running = fleet.mesh.targets.iter_mut().rev();
    let victim = running.find(|target| target.is_running());
    victim.ok_or(CapacityError::NoNodes)?.kill();
    let others = fleet.operators();
    let suspected = fleet.time_until("a death suspected", &others, LIMIT_MS, |samples| {
        samples.sum(MEMBERS, &[DEAD]) + samples.sum(MEMBERS, &[SUSPECT]) > gone
    });
    let dead = fleet.time_until("a death known", &others, LIMIT_MS, |samples| {
        samples.sum(MEMBERS, &[DEAD]) > gone
    });
    let (suspected, dead) = tokio::join!(suspected, dead);
    Ok((suspected?, dead?))
}

/// Drains a node, counted from the last that runs; as many as that are draining already.
async fn drain(fleet: &Fleet, position: usize) -> Result<Vec<f64>, CapacityError> {
    let mut others = fleet.operators();
    let index = others.len().checked_sub(position + 1);
    let leaving = others.remove(index.ok_or(CapacityError::NoNodes)?);
    fleet.drain(leaving).await?;
    let known = fleet.time_until("a planned stop known", &others, LIMIT_MS, |samples| {
        let leaving = samples.sum(MEMBERS, &[DRAINING]) + samples.sum(MEMBERS, &[LEFT]);
        leaving > position as f64
    });
    known.await
}
