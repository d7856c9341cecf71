//! Sums over the latest buckets of a budget.

use crate::retry::window_budget::BUCKETS;

/// The buckets that are kept. At least one and a half windows are needed: the bound of a window follows
/// from the one that began half a window earlier.
pub(super) const KEPT_BUCKETS: usize = 2 * BUCKETS;

/// The sums over the last 0 to [`KEPT_BUCKETS`] buckets.
#[derive(Clone, Copy, Debug)]
pub(super) struct BucketSums([f32; KEPT_BUCKETS + 1]);

impl BucketSums {
    /// Takes values with the age of their bucket; the current bucket has the age 0.
    pub fn new(values: impl Iterator<Item = (usize, f32)>) -> Self {
        let mut sums = [0.0; KEPT_BUCKETS + 1];
        for (age, value) in values.filter(|(age, _)| *age < KEPT_BUCKETS) {
            sums[age + 1] += value;
        }
        for count in 1..sums.len() {
            sums[count] += sums[count - 1];
        }
        Self(sums)
    }

    /// The sum over the last `count` buckets.
    pub fn last(&self, count: usize) -> f32 {
        self.0[count]
    }
}
