//! The pressure on a service, computed from reports of its targets.

use crate::core::Name;
use crate::placement::ServicePlacement;

/// The pressure on a target, in thousandths, and the number of calls it can run at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetPressure {
    pub permille: u32,
    pub slots: u32,
}

impl TargetPressure {
    /// The assumed pressure of a target without a recent report, when others are limited by a rate.
    /// Calls refused by those come to this target, and its answer shows at once if it is full as
    /// well.
    pub fn assumed_idle(slots: u32) -> Self {
        Self { permille: 0, slots }
    }

    /// The pressure on a service, in thousandths; `None` if no target has reported.
    ///
    /// A call may go to any target, so this is the mean over the targets, weighted by slots.
    /// Unweighted, a target that takes a few requests per second would make its whole service look
    /// full. The sums are of 128 bits, as reports of other nodes can hold any numbers.
    pub fn of_service(targets: impl Iterator<Item = Self>) -> Option<u32> {
        let (sum, slots) = targets.fold((0, 0), |(sum, slots), each| {
            let part = u128::from(each.slots.max(1));
            (sum + u128::from(each.permille) * part, slots + part)
        });
        u128::checked_div(sum, slots).map(|mean| mean as u32)
    }

    /// The pressure on a service with a current placement, in thousandths: the mean over the
    /// reachable domains, weighted by slots. `own_permille` is the pressure that the own domain's
    /// targets reported here, if any did recently. `None` if no domain has a target, or if no call
    /// leaves the own domain and no reachable domain is above `stay`; see
    /// [`ServicePlacement::presses_as_a_whole`].
    ///
    /// Guards against root requests that are refused because one domain's targets are full, by calls
    /// of its own or of other domains, while other domains have room.
    pub fn of_domains(
        own_domain: &str,
        own_permille: Option<u32>,
        placement: &ServicePlacement,
        unreachable: &[Name],
    ) -> Option<u32> {
        if !placement.presses_as_a_whole(own_domain, unreachable) {
            return None;
        }
        let reachable = placement.loads.iter().filter(|load| {
            let is_own = &*load.domain == own_domain;
            load.slots > 0 && (is_own || !unreachable.contains(&load.domain))
        });
        Self::of_service(reachable.map(|load| {
            let reported = own_permille.filter(|_| &*load.domain == own_domain);
            Self {
                permille: reported.unwrap_or(load.pressure_permille),
                slots: load.slots,
            }
        }))
    }
}
