//! Settings that change while the node serves.

use std::sync::Arc;

use crate::traffic::TrafficProcess;
use crate::traffic::TrafficSettings;
use crate::traffic::traffic::Traffic;

/// What became of changed settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reloaded {
    /// Fields that hold from now on.
    pub in_force: Vec<&'static str>,
    /// Fields that hold from the next start on.
    pub at_next_start: Vec<&'static str>,
}

impl TrafficProcess {
    /// Takes over what can change while the node serves, and tells what cannot. Requests in
    /// progress are not touched.
    pub fn reload(&self, settings: &TrafficSettings) -> Reloaded {
        let reloaded = Reloaded {
            in_force: changed_live(&self.traffic, settings),
            at_next_start: changed_identity(&self.traffic.settings, settings),
        };
        if !reloaded.in_force.is_empty() {
            self.traffic.set_live(settings.live);
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
        allowance_bound,
        keys_hold_ms,
        stop_within_ms,
        held_body_bytes,
    )
}

/// Others know the node by these, and listeners are open at these addresses.
fn changed_identity(before: &TrafficSettings, after: &TrafficSettings) -> Vec<&'static str> {
    changed!(
        before,
        after,
        node,
        region,
        domain,
        service,
        caller_address,
        peer_address,
        control_address,
        ready_address,
        report_address,
    )
}
