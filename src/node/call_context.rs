//! The context of a call: inherited from its parent call, or new for a root.

use std::sync::Arc;

use crate::core::Name;
use crate::core::Priority;
use crate::core::RequestId;
use crate::core::TimeMs;
use crate::node::entry::Origin;
use crate::node::live_calls::LiveCall;
use crate::preset::CallPolicy;
use crate::preset::InForce;

/// The context of a call: inherited from its parent call, or new for a root.
pub(super) struct CallContext {
    pub(super) allotment_holder: Arc<LiveCall>,
    /// Whether the allotment holder is a call that runs at the local backend server.
    pub(super) is_child: bool,
    pub(super) priority: Priority,
    pub(super) depth: u8,
    /// The parent's deadline. A root has none to inherit.
    pub(super) deadline: Option<TimeMs>,
}

/// Builds the context of a call. A call of the backend server that names no live call is a root
/// without retries, which the allotment of the real root would not bound.
pub(super) fn call_context(
    in_force: &InForce,
    policy: CallPolicy,
    service: &str,
    key: Option<&Name>,
    origin: Origin,
    now: TimeMs,
) -> CallContext {
    let allotment = in_force.preset.retry_allotment;
    match origin {
        Origin::Backend(Some(parent)) => child(policy, parent),
        Origin::Backend(None) => root(policy, service, key, 0, now),
        Origin::Caller => root(policy, service, key, allotment, now),
    }
}

/// A child call inherits the priority of its parent, unless its own class is more important: a
/// charge made on behalf of low-priority work is still a charge.
fn child(policy: CallPolicy, parent: Arc<LiveCall>) -> CallContext {
    let class = policy.class.min(parent.priority.class());
    CallContext {
        priority: Priority::new(class, parent.priority.rank()),
        depth: parent.depth.saturating_add(1),
        deadline: Some(parent.deadline),
        allotment_holder: parent,
        is_child: true,
    }
}

fn root(
    policy: CallPolicy,
    service: &str,
    key: Option<&Name>,
    allotment: u16,
    now: TimeMs,
) -> CallContext {
    let request = key.map_or_else(RequestId::random, |key| RequestId::of_key(service, key));
    let priority = Priority::new(policy.class, request.rank());
    let deadline = now + u64::from(policy.deadline_ms);
    let route = Name::from("");
    let allotment_holder = LiveCall::new(request, priority, 0, deadline, route, 0, allotment);
    CallContext {
        allotment_holder: Arc::new(allotment_holder),
        is_child: false,
        priority,
        depth: 0,
        deadline: None,
    }
}

/// The earliest of the deadlines set by the caller, the preset and the parent call.
pub(super) fn deadline(
    announced_ms: Option<u32>,
    policy: CallPolicy,
    inherited: Option<TimeMs>,
    now: TimeMs,
) -> TimeMs {
    let own_ms = announced_ms.map_or(policy.deadline_ms, |ms| ms.min(policy.deadline_ms));
    let own = now + u64::from(own_ms);
    inherited.map_or(own, |inherited| own.min(inherited))
}
