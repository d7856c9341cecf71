//! Reloads the settings of a running node.

use std::sync::Arc;

use crate::traffic::TrafficProcess;
use crate::traffic::TrafficSettings;
use crate::traffic::traffic::Traffic;

/// The effect of a reload.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reloaded {
    /// Changed fields that have taken effect.
    pub in_force: Vec<&'static str>,
    /// Changed fields that take effect at the next start.
    pub at_next_start: Vec<&'static str>,
}

impl TrafficProcess {
    /// Applies the settings that can change while the node runs, and reports the others. Requests
    /// in progress are not affected.
    pub fn reload(&self, settings: &TrafficSettings) -> Reloaded {
        let mut reloaded = Reloaded {
            in_force: changed_live(&self.traffic, settings),
            at_next_start: changed_identity(&self.traffic.settings, settings),
        };
        if !reloaded.in_force.is_empty() {
            self.traffic.set_live(settings.live);
        }
        if self.traffic.own_service.set_configured(&settings.service) {
            reloaded.in_force.push("service");
        }
        log::info!(
            "settings: read again, in_force={:?} at_next_start={:?}",
            reloaded.in_force,
            reloaded.at_next_start
        );
        reloaded
    }
}

macro_rules! changed {
    ($before:expr, $after:expr, $($field:ident),+ $(,)?) => {{
        let mut fields = Vec::new();
        $(if $before.$field != $after.$field {
            fields.push(stringify!($field));
        })+
        fields
    }};
}

fn changed_live(traffic: &Arc<Traffic>, settings: &TrafficSettings) -> Vec<&'static str> {
    let before = traffic.live();
    changed!(
        before,
        settings.live,
        backend_address,
        heartbeat_ms,
        retry_bound,
        configured_domains,
        allowance_bound,
        keys_hold_ms,
        stop_within_ms,
        held_body_bytes,
        domain_stay_permille,
    )
}

/// Other nodes know the node by these settings, and its listeners are bound to these addresses, so
/// they cannot change while it runs.
fn changed_identity(before: &TrafficSettings, after: &TrafficSettings) -> Vec<&'static str> {
    changed!(
        before,
        after,
        node,
        region,
        domain,
        caller_address,
        peer_address,
        control_address,
        ready_address,
        report_address,
    )
}
