//! Publishes the presets of a mesh, and switches to the first one, as operators do.

use std::net::SocketAddr;

use crate::configuration::Change;
use crate::configuration::ConfigStore;
use crate::core::Name;
use crate::errors::MeshError;
use crate::mesh::MeshPlan;
use crate::table_service::PlatformClient;

/// How long one request to the platform may take, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 2_000;

/// Publishes every preset of the plan and brings the first one into force.
pub(super) async fn publish_presets(
    plan: &MeshPlan,
    platform: SocketAddr,
) -> Result<(), MeshError> {
    let domain = Name::from("operators");
    let client = PlatformClient::new(platform, domain, PLATFORM_TIMEOUT_MS);
    let store = ConfigStore::with_read_retries(client);
    for (index, preset) in plan.presets.iter().enumerate() {
        store.publish("preset", preset, &change(index)).await?;
    }
    if !plan.presets.is_empty() {
        let change = change(plan.presets.len());
        store.switch(&plan.first_preset, None, 0, &change).await?;
    }
    Ok(())
}

fn change(index: usize) -> Change {
    Change {
        change_id: Name::from(format!("mesh-{index}")),
        operator: Name::from("mesh"),
        at_unix_s: 0,
    }
}
