//! A figure measured in several rounds.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The median of some rounds, and how far they lie apart.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Spread {
    pub median: f64,
    pub least: f64,
    pub most: f64,
    pub rounds: usize,
}

impl Spread {
    /// The spread of some values; nothing when there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Option<Self> {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let last = values.len().checked_sub(1)?;
        Some(Self {
            median: f64::midpoint(values[last / 2], values[last.div_ceil(2)]),
            least: values[0],
            most: values[last],
            rounds: values.len(),
        })
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let decimals = f.precision().unwrap_or(2);
        write!(
            f,
            "{:.decimals$} [{:.decimals$}..{:.decimals$}]",
            self.median, self.least, self.most
        )
    }
}

/// A spread for a table, `-` when nothing was measured.
pub fn show(spread: Option<Spread>, decimals: usize) -> String {
    spread.map_or_else(|| "-".into(), |spread| format!("{spread:.decimals$}"))
}
