//! Quantiles of latencies.

use hdrhistogram::Histogram;

/// Three significant digits, as usual for latencies.
const DIGITS: u8 = 3;
/// Longer latencies count as this long.
const LONGEST_US: u64 = 3_600_000_000;

/// A histogram of latencies in microseconds, filled.
pub fn histogram_of(latencies_us: impl Iterator<Item = u64>) -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("the bounds are in order");
    for latency_us in latencies_us {
        histogram.saturating_record(latency_us);
    }
    histogram
}

/// A quantile in milliseconds, 0 when there are no latencies.
pub fn quantile_ms(latencies_us: &[u64], quantile: f64) -> f64 {
    let histogram = histogram_of(latencies_us.iter().copied());
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
