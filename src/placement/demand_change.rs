//! How much a failure domain's demand has changed, estimated by one of its entries.

/// At this rate of an entry's calls per second, chance changes the rate within a second as much as a
/// change of the domain's demand does: by a fifth.
const CHANCE_PER_S: f32 = 50.0;

/// Estimates the factor by which the demand of the own failure domain has changed since this entry
/// offered `reported_per_s`, given that it offers `now_per_s` now.
///
/// An entry sees its own calls at once, and those of the other entries of its domain only in the loads that
/// its coordinator sends. The fewer calls it makes, the more of a change is chance, and the closer is the
/// estimate to 1.
pub fn demand_change(reported_per_s: f32, now_per_s: f32) -> f32 {
    (now_per_s + CHANCE_PER_S) / (reported_per_s + CHANCE_PER_S)
}
