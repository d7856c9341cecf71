//! How long a switched preset takes to be in force everywhere, and what that costs the platform.

use serde::Deserialize;
use serde::Serialize;

use crate::capacity::Fleet;
use crate::capacity::Spread;
use crate::capacity::StoreUse;
use crate::capacity::fleet::PRESETS;
use crate::capacity::fleet::preset;
use crate::configuration::Change;
use crate::configuration::ConfigStore;
use crate::configuration::SwitchOutcome;
use crate::core::Name;
use crate::errors::CapacityError;
use crate::table_service::PlatformClient;

const CONFIG_VERSION: &str = "sassafrasgap_config_version";
const OPERATOR: &str = "capacity";
const STORE_TIMEOUT_MS: u64 = 2_000;
/// Longer than anybody would wait.
const LIMIT_MS: u64 = 60_000;

/// The switches of one size.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SwitchFigures {
    /// Until the new preset was in force at each node, from the store's answer on.
    pub times_ms: Spread,
    pub store: StoreUse,
}

impl SwitchFigures {
    /// Switches to and fro between two presets.
    ///
    /// # Errors
    /// When the platform refuses or a switch is not in force in time.
    pub async fn measure(fleet: &Fleet, repeats: usize) -> Result<Self, CapacityError> {
        let client = PlatformClient::new(
            fleet.mesh.platform_address,
            Name::from(OPERATOR),
            STORE_TIMEOUT_MS,
        );
        let store = ConfigStore::new(client);
        for name in PRESETS {
            store.publish(name, &preset(name), &change()).await?;
        }
        let before = fleet.platform_stats().await?;
        let started_at = fleet.clock.now();
        let mut times_ms = Vec::new();
        for repeat in 0..repeats {
            let name = Name::from(PRESETS[(repeat + 1) % PRESETS.len()]);
            let switched = store.switch(&name, None, 0, &change()).await?;
            times_ms.extend(time_in_force(fleet, &switched).await?);
        }
        let after = fleet.platform_stats().await?;
        let seconds = fleet.clock.now().since(started_at) as f64 / 1_000.0;
        Ok(Self {
            times_ms: Spread::of(&times_ms),
            store: StoreUse::between(&before, &after, seconds),
        })
    }
}

async fn time_in_force(fleet: &Fleet, switched: &SwitchOutcome) -> Result<Vec<f64>, CapacityError> {
    let version = match switched {
        SwitchOutcome::InForce { version, .. } | SwitchOutcome::AlreadyInForce { version, .. } => {
            *version
        }
        SwitchOutcome::Replaced { by_version, .. } => *by_version,
    };
    let operators = fleet.operators();
    fleet
        .time_until("a switch in force", &operators, LIMIT_MS, |samples| {
            samples.sum(CONFIG_VERSION, &[]) >= version as f64
        })
        .await
}

fn change() -> Change {
    Change {
        change_id: Name::from(format!("{:016x}", fastrand::u64(..))),
        operator: Name::from(OPERATOR),
        at_unix_s: 0,
    }
}
