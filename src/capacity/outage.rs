//! What an outage of the platform costs the nodes, and what its end costs the platform.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;

use crate::capacity::Fleet;
use crate::capacity::SteadyFigures;
use crate::capacity::StoreUse;
use crate::errors::CapacityError;

/// Until every lease lives by promises.
const SETTLE: Duration = Duration::from_secs(15);
const RECOVERY_STEP: Duration = Duration::from_secs(1);
/// How long the recovery is watched, in steps.
const RECOVERY_STEPS: usize = 20;

/// One outage from its beginning until the platform's use is ordinary again.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OutageFigures {
    /// The nodes while the platform is down.
    pub during: SteadyFigures,
    /// The busiest second after the platform came back.
    pub recovery_peak_reads_per_s: f64,
    pub recovery_peak_writes_per_s: f64,
}

impl OutageFigures {
    /// Takes the platform down for a while and watches.
    ///
    /// # Errors
    /// When a node or the platform does not answer an operator.
    pub async fn measure(fleet: &Fleet, seconds: u64) -> Result<Self, CapacityError> {
        fleet
            .mesh
            .add_platform_fault(&json!({"down": true}))
            .await?;
        sleep(SETTLE).await;
        let during = SteadyFigures::measure(fleet, seconds).await?;
        fleet.mesh.clear_platform_faults().await?;
        let mut figures = Self {
            during,
            ..Self::default()
        };
        let mut before = fleet.platform_stats().await?;
        for _ in 0..RECOVERY_STEPS {
            sleep(RECOVERY_STEP).await;
            let after = fleet.platform_stats().await?;
            let step = StoreUse::between(&before, &after, RECOVERY_STEP.as_secs_f64());
            figures.recovery_peak_reads_per_s =
                figures.recovery_peak_reads_per_s.max(step.reads_per_s);
            figures.recovery_peak_writes_per_s =
                figures.recovery_peak_writes_per_s.max(step.writes_per_s);
            before = after;
        }
        Ok(figures)
    }
}
