//! How hard calls press on a service, from what its targets tell.

/// How hard calls press on a target, and what it can use of its slots; both in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetPressure {
    pub permille: u32,
    pub usable_permille: u32,
}

impl TargetPressure {
    /// How hard calls press on a service, in thousandths; `None` where no target tells.
    ///
    /// A call may go to any target, so it is their mean. Each counts by what it can use of its slots, or one
    /// that takes a few requests a second would make its whole service look full.
    pub fn of_service(targets: impl Iterator<Item = Self>) -> Option<u32> {
        let (sum, usable) = targets.fold((0, 0), |(sum, usable), each| {
            let part = u64::from(each.usable_permille);
            (sum + u64::from(each.permille) * part, usable + part)
        });
        u64::checked_div(sum, usable).map(|mean| mean as u32)
    }
}
