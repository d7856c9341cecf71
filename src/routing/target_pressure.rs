//! How hard calls press on a service, from what its targets tell.

/// How hard calls press on a target, in thousandths, and how many calls it can run at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetPressure {
    pub permille: u32,
    pub slots: u32,
}

impl TargetPressure {
    /// What is believed of a target that has not told lately, where others are limited by a rate: calls that
    /// those turn away come there, and its answer tells at once if it is full as well.
    pub fn assumed_idle(slots: u32) -> Self {
        Self { permille: 0, slots }
    }

    /// How hard calls press on a service, in thousandths; `None` where no target tells.
    ///
    /// A call may go to any target, so it is their mean. Each counts by its slots, or one that takes a few
    /// requests a second would make its whole service look full.
    pub fn of_service(targets: impl Iterator<Item = Self>) -> Option<u32> {
        let (sum, slots) = targets.fold((0, 0), |(sum, slots), each| {
            let part = u64::from(each.slots.max(1));
            (sum + u64::from(each.permille) * part, slots + part)
        });
        u64::checked_div(sum, slots).map(|mean| mean as u32)
    }
}
