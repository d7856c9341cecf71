//! How a figure is spread over nodes or repetitions.

use serde::Deserialize;
use serde::Serialize;

/// A few values, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Spread {
    pub count: usize,
    pub min: f64,
    pub mean: f64,
    pub max: f64,
    pub std_dev: f64,
}

impl Spread {
    /// Sums up values; all zero when there are none.
    pub fn of(values: &[f64]) -> Self {
        if values.is_empty() {
            return Self::default();
        }
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let variance = values
            .iter()
            .map(|value| (value - mean).powi(2))
            .sum::<f64>()
            / count;
        Self {
            count: values.len(),
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            mean,
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
            std_dev: variance.sqrt(),
        }
    }
}
