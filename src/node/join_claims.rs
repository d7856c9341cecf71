//! Connects the claims to the rest of the node.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::claims::Claims;
use crate::claims::ClaimsPorts;
use crate::claims::ClaimsSettings;
use crate::claims::LeaseConf;
use crate::claims::LedgerBounds;
use crate::claims::LocalService;
use crate::claims::boot_fingerprint;
use crate::conf::NodeSettings;
use crate::control::ControlHandle;
use crate::core::TargetState;
use crate::node::NodeInputs;
use crate::table_service::PlatformClient;

/// Creates the claims of a node. `bound` is the address of its listener for other nodes.
pub(super) fn new_claims(
    settings: &NodeSettings,
    inputs: &NodeInputs,
    bound: SocketAddr,
) -> Arc<Claims> {
    let bounds = LedgerBounds {
        max_keys: settings.max_ledger_keys,
        ..LedgerBounds::default()
    };
    let settings = ClaimsSettings {
        node: settings.node.clone(),
        region: settings.region.clone(),
        boot: boot_fingerprint(bound),
        lease: LeaseConf::for_lease(settings.lease_ms),
        bounds,
    };
    Claims::new(settings, inputs.clock)
}

/// Starts the claims on the control thread.
pub(super) fn start_claims(
    claims: Arc<Claims>,
    inputs: &NodeInputs,
    control: &ControlHandle,
    platform: PlatformClient,
) {
    let local = inputs.local.clone();
    let in_force = inputs.in_force.clone();
    let ports = ClaimsPorts {
        platform,
        clients: control.clients.clone(),
        view: control.view.clone(),
        local: Box::new(move || {
            let local = local.borrow();
            let announced = local.announced.as_ref()?;
            Some(LocalService {
                service: announced.service.clone(),
                serving: announced.state == TargetState::Up,
                draining: announced.state == TargetState::Draining,
            })
        }),
        window_ms: Box::new(move || {
            let in_force = in_force.load();
            let known = in_force.as_ref().as_ref()?;
            Some(known.preset.resend_window_ms)
        }),
    };
    control.runtime.spawn(claims.run(ports));
}
