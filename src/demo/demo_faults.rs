//! What goes wrong during the demo, and when.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::backend::BehaviourChange;
use crate::errors::MeshError;
use crate::load::PhaseSpan;
use crate::mesh::Mesh;

/// The VM that is lost.
const LOST_NODE: &str = "scheduler-1";
/// How long it is gone.
const LOST_FOR_MS: u64 = 3_000;
/// The service at the end of the chain, which slows down during the surge.
const DEEP_SERVICE: &str = "kernel-hub";
const SLOW_FACTOR: f64 = 3.0;

/// Follows the phases of the plan: a VM is lost in `fault`, the deep service is slow in `surge`.
///
/// # Errors
/// When a process cannot be started anew or does not answer.
pub async fn bring_about(mesh: &mut Mesh, phases: &[PhaseSpan]) -> Result<(), MeshError> {
    let start = Instant::now();
    let at = |at_ms| sleep_until(start + Duration::from_millis(at_ms));
    let span = |name: &str| phases.iter().find(|phase| &*phase.name == name);
    if let Some(fault) = span("fault") {
        at(fault.start_ms).await;
        mesh.target_mut(LOST_NODE).kill();
        eprintln!("demo: the VM of {LOST_NODE} is lost");
        at(fault.start_ms + LOST_FOR_MS).await;
        mesh.target_mut(LOST_NODE).restart()?;
        eprintln!("demo: the VM of {LOST_NODE} is back");
    }
    if let Some(surge) = span("surge") {
        at(surge.start_ms).await;
        slow_down(mesh, SLOW_FACTOR).await?;
        eprintln!("demo: surge, and {DEEP_SERVICE} is {SLOW_FACTOR} times as slow");
        at(surge.end_ms).await;
        slow_down(mesh, 1.0).await?;
        eprintln!("demo: the surge ends");
    }
    Ok(())
}

async fn slow_down(mesh: &Mesh, slow_factor: f64) -> Result<(), MeshError> {
    let change = BehaviourChange {
        slow_factor: Some(slow_factor),
        ..BehaviourChange::default()
    };
    mesh.behave(DEEP_SERVICE, &change).await
}
