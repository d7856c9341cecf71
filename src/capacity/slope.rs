//! Straight lines through measured points.

use serde::Deserialize;
use serde::Serialize;

/// A least-squares line: `value = base + per_unit * x`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Slope {
    pub base: f64,
    pub per_unit: f64,
    /// The standard error of `per_unit`; infinite with fewer than three points.
    pub per_unit_error: f64,
}

impl Slope {
    /// Fits a line; a flat one through the mean where all points have the same `x`.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count.max(1.0);
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count.max(1.0);
        let square_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if square_x == 0.0 {
            return Self {
                base: mean_y,
                per_unit: 0.0,
                per_unit_error: f64::MAX,
            };
        }
        let product: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let per_unit = product / square_x;
        let base = mean_y - per_unit * mean_x;
        let residue: f64 = points
            .iter()
            .map(|(x, y)| (y - base - per_unit * x).powi(2))
            .sum();
        let per_unit_error = match points.len() {
            0..3 => f64::MAX,
            _ => (residue / (count - 2.0) / square_x).sqrt(),
        };
        Self {
            base,
            per_unit,
            per_unit_error,
        }
    }

    /// The value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.per_unit * x
    }
}
