//! Latency histograms by route, limited in number.

use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::Registry;

use crate::core::FastMap;
use crate::core::Name;

/// Routes with a series of their own. A desired state may have hundreds of routes, and each series
/// has one value for each bucket, so all further routes share one series.
const MAX_ROUTES: usize = 64;
/// The label of all further routes.
const OTHER_ROUTES: &str = "other";

/// How long requests take, by route.
pub struct ByRoute {
    family: HistogramVec,
    known: Mutex<FastMap<Name, Histogram>>,
}

impl ByRoute {
    /// Registers a histogram family labelled `route`.
    ///
    /// # Panics
    /// When the name is malformed or already registered, which is a bug in the program.
    pub fn register(registry: &Registry, name: &str, help: &str, buckets_s: &[f64]) -> Self {
        let opts = HistogramOpts::new(name, help).buckets(buckets_s.to_vec());
        let family = HistogramVec::new(opts, &["route"]).expect("the name of a histogram is valid");
        registry
            .register(Box::new(family.clone()))
            .expect("the name of a histogram is free");
        Self {
            family,
            known: Mutex::default(),
        }
    }

    /// Records how long a request on a route took.
    pub fn observe(&self, route: &Name, seconds: f64) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(histogram) = known.get(route) {
            histogram.observe(seconds);
            return;
        }
        let label = if known.len() < MAX_ROUTES {
            route
        } else {
            OTHER_ROUTES
        };
        let histogram = self.family.with_label_values(&[label]);
        histogram.observe(seconds);
        if known.len() < MAX_ROUTES {
            known.insert(route.clone(), histogram);
        }
    }
}
