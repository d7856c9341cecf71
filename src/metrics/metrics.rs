//! The metrics of a node.

use std::collections::BTreeMap;

use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::accounts::AccountUse;
use crate::admission::OverloadedService;
use crate::core::RefusalReason;
use crate::core::RetryReason;
use crate::metrics::ByReason;
use crate::metrics::ByRoute;
use crate::metrics::PlacementMetrics;
use crate::metrics::RetryMetrics;
use crate::store::StoreCounters;

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS_S: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
    10.0, 30.0,
];

/// How many accounts have a label of their own.
const MAX_ACCOUNTS: usize = 10;

/// Everything that a node counts.
pub struct Metrics {
    registry: Registry,
    /// Refusals by this node as entry, to callers and to the local backend server.
    entry_refusals: ByReason,
    /// Refusals by this node as guard, to other nodes.
    guard_refusals: ByReason,
    retries: ByReason,
    pub entry_calls: IntCounter,
    pub guard_calls: IntCounter,
    /// Calls sent to the local backend server.
    pub backend_calls: IntCounter,
    backend_words: IntCounterVec,
    pub backend_rate: Gauge,
    pub forged_headers: IntCounter,
    pub roots_without_context: IntCounter,
    pub joined_calls: IntCounter,
    pub repeated_answers: IntCounter,
    pub attempt_questions: IntCounter,
    pub silent_connections: IntCounter,
    pub wrong_answers: IntCounter,
    pub broken_answers: IntCounter,
    pub invariant_violations: IntCounter,
    pub guard_in_flight: IntGauge,
    pub guard_limit: IntGauge,
    guard_queue: IntGaugeVec,
    /// Attempts that this node as entry has sent and that have not ended.
    pub entry_in_flight: IntGauge,
    pub config_version: IntGauge,
    pub slots_owned: IntGauge,
    pub slots_open: IntGauge,
    pub ledger_keys: IntGauge,
    pub ledger_answer_bytes: IntGauge,
    pub entry_latency: Histogram,
    /// The latency by route, for requests that were answered by a backend server.
    pub route_latency: ByRoute,
    pub store_reached: IntGauge,
    pub store: StoreCounters,
    pub body_bytes: IntGauge,
    pub failing_permille: IntGauge,
    pub placement: PlacementMetrics,
    pub retry: RetryMetrics,
    pressures: IntGaugeVec,
    admitted: IntGaugeVec,
    account_requests: IntGaugeVec,
    account_admitted: IntGaugeVec,
    pub guard_wait: Histogram,
    pub backend_latency: Histogram,
}

impl Metrics {
    /// Registers every metric.
    ///
    /// # Panics
    /// When two metrics have the same name, which is a bug in the program.
    pub fn new() -> Self {
        let registry = Registry::new();
        let refusals: Vec<&str> = RefusalReason::ALL.iter().map(|r| r.as_str()).collect();
        let retries: Vec<&str> = RetryReason::ALL.iter().map(|r| r.as_str()).collect();
        let by_reason = |name, help, reasons| ByReason::register(&registry, name, help, reasons);
        let counter = |name, help| counter(&registry, name, help);
        let gauge = |name, help| gauge(&registry, name, help);
        let histogram = |name, help| histogram(&registry, name, help);
        Self {
            entry_refusals: by_reason(
                "sassafrasgap_entry_refusals_total",
                "Calls refused to callers by the reason given.",
                &refusals,
            ),
            guard_refusals: by_reason(
                "sassafrasgap_guard_refusals_total",
                "Calls refused to other nodes by the reason given.",
                &refusals,
            ),
            retries: by_reason(
                "sassafrasgap_retries_total",
                "Further attempts by the reason of the attempt before.",
                &retries,
            ),
            entry_calls: counter(
                "sassafrasgap_entry_calls_total",
                "Calls taken from callers.",
            ),
            guard_calls: counter("sassafrasgap_guard_calls_total", "Calls taken from nodes."),
            backend_calls: counter(
                "sassafrasgap_backend_calls_total",
                "Calls sent to the local backend server.",
            ),
            backend_words: counter_by(
                &registry,
                "sassafrasgap_backend_words_total",
                "Answers of the local backend server that say a word of itself, by word.",
                &["word"],
            ),
            backend_rate: float_gauge(
                &registry,
                "sassafrasgap_backend_rate_per_second",
                "Requests a second that the local backend server says it takes; -1 without a limit.",
            ),
            forged_headers: counter(
                "sassafrasgap_forged_headers_total",
                "Internal headers dropped on the callers' listener.",
            ),
            roots_without_context: counter(
                "sassafrasgap_roots_without_context_total",
                "Calls of the local backend server that named no live call; they get no retries.",
            ),
            joined_calls: counter(
                "sassafrasgap_joined_calls_total",
                "Resends with the key of a call that ran already and got its answer.",
            ),
            repeated_answers: counter(
                "sassafrasgap_repeated_answers_total",
                "Resends that got the kept answer of a call that had run.",
            ),
            attempt_questions: counter(
                "sassafrasgap_attempt_questions_total",
                "Questions to guards about attempts whose answers were overdue.",
            ),
            silent_connections: counter(
                "sassafrasgap_silent_connections_total",
                "Connections to other nodes given up because they had gone silent.",
            ),
            wrong_answers: counter(
                "sassafrasgap_wrong_answers_total",
                "Answers of another attempt, or of another length than announced, not passed on.",
            ),
            broken_answers: counter(
                "sassafrasgap_broken_answers_total",
                "Streamed answers that were broken off visibly.",
            ),
            invariant_violations: counter(
                "sassafrasgap_invariant_violations_total",
                "Checks inside the program that failed; any is a fault to report.",
            ),
            guard_in_flight: gauge(
                "sassafrasgap_guard_in_flight",
                "Calls that run at the local backend server.",
            ),
            guard_limit: gauge(
                "sassafrasgap_guard_limit",
                "How many calls may run at the local backend server at once.",
            ),
            guard_queue: gauge_by_class(&registry),
            entry_in_flight: gauge(
                "sassafrasgap_entry_in_flight",
                "Calls that this node has forwarded and whose answers have not ended.",
            ),
            config_version: gauge(
                "sassafrasgap_config_version",
                "The version of the configuration in force here.",
            ),
            slots_owned: gauge(
                "sassafrasgap_slots_owned",
                "Slots of idempotency keys that this node owns.",
            ),
            slots_open: gauge(
                "sassafrasgap_slots_open",
                "Owned slots in which keys that were not seen yet may run at present.",
            ),
            ledger_keys: gauge(
                "sassafrasgap_ledger_keys",
                "Idempotency keys that the ledger remembers.",
            ),
            ledger_answer_bytes: gauge(
                "sassafrasgap_ledger_answer_bytes",
                "Bytes of answers kept for resends.",
            ),
            entry_latency: histogram(
                "sassafrasgap_entry_latency_seconds",
                "From the arrival of a call at the entry to the head of its answer.",
            ),
            route_latency: ByRoute::register(
                &registry,
                "sassafrasgap_route_latency_seconds",
                "From the arrival of a request at the entry to its backend server's answer.",
                BUCKETS_S,
            ),
            store: StoreCounters {
                calls: counter_by(
                    &registry,
                    "sassafrasgap_store_calls_total",
                    "Calls to the store, answered or not, by table and kind of call.",
                    &["table", "call"],
                ),
                failures: counter_by(
                    &registry,
                    "sassafrasgap_store_failures_total",
                    "Calls to the store that failed, by table, kind of call and reason.",
                    &["table", "call", "reason"],
                ),
            },
            store_reached: gauge(
                "sassafrasgap_store_reached",
                "1 while the store answers this node, as far as it has asked lately, else 0.",
            ),
            body_bytes: gauge(
                "sassafrasgap_body_bytes",
                "Bytes of bodies of requests and answers that are held.",
            ),
            failing_permille: gauge(
                "sassafrasgap_failing_permille",
                "The share of calls that failed at the local backend server lately.",
            ),
            placement: PlacementMetrics::register(&registry),
            retry: RetryMetrics::register(&registry),
            pressures: gauge_by_service(
                &registry,
                "sassafrasgap_pressure_permille",
                "How hard services are pressed for whose sake this entry refuses requests.",
            ),
            admitted: gauge_by_service(
                &registry,
                "sassafrasgap_admitted_percent",
                "The part of callers' requests that is let in for a pressed service's sake.",
            ),
            account_requests: gauge_by(
                &registry,
                "sassafrasgap_account_asked_per_minute",
                "Requests of the busiest accounts that come here, and of all others together.",
                "account",
            ),
            account_admitted: gauge_by(
                &registry,
                "sassafrasgap_account_part_permille",
                "The part of an account's requests that its allowance lets in.",
                "account",
            ),
            guard_wait: histogram(
                "sassafrasgap_guard_wait_seconds",
                "The wait of admitted calls in the guard's queue.",
            ),
            backend_latency: histogram(
                "sassafrasgap_backend_latency_seconds",
                "From sending a call to the backend server to the end of its answer.",
            ),
            registry,
        }
    }

    /// Counts a refusal by this node as entry.
    pub fn count_entry_refusal(&self, reason: RefusalReason) {
        self.entry_refusals.inc(reason as usize);
    }

    /// Counts a refusal by this node as guard.
    pub fn count_guard_refusal(&self, reason: RefusalReason) {
        self.guard_refusals.inc(reason as usize);
    }

    /// Counts a retry by the reason why the previous attempt failed.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.inc(reason as usize);
    }

    /// Counts an answer in which the local backend server reports its own state as `word`.
    pub fn count_word(&self, word: &str) {
        self.backend_words.with_label_values(&[word]).inc();
    }

    /// Sets how many calls of each class are queued at the guard.
    pub fn set_guard_queue(&self, queued: &BTreeMap<u8, i64>) {
        self.guard_queue.reset();
        for (class, queued) in queued {
            let class = class.to_string();
            self.guard_queue.with_label_values(&[&class]).set(*queued);
        }
    }

    /// Sets the overloaded services because of which this entry refuses requests. There are at most
    /// as many as there are services.
    pub fn set_overloaded(&self, overloaded: &[OverloadedService]) {
        self.pressures.reset();
        self.admitted.reset();
        for each in overloaded {
            let label = [&*each.service];
            let pressure = self.pressures.with_label_values(&label);
            pressure.set(i64::from(each.pressure_permille));
            let admitted = self.admitted.with_label_values(&label);
            admitted.set(i64::from(each.admitted_percent));
        }
    }

    /// Sets the request rate and the admitted fraction of each account. `accounts` is sorted by
    /// rate, highest first. All accounts after the first 10 share one label, so that the number of
    /// series is limited.
    pub fn set_accounts<'a>(&self, accounts: impl Iterator<Item = (&'a str, AccountUse)>) {
        self.account_requests.reset();
        self.account_admitted.reset();
        let mut others_per_minute = 0.0;
        for (rank, (name, account)) in accounts.enumerate() {
            let per_minute = account.per_s * 60.0;
            if rank >= MAX_ACCOUNTS {
                others_per_minute += per_minute;
                continue;
            }
            let requests = self.account_requests.with_label_values(&[name]);
            requests.set(per_minute as i64);
            let fraction = self.account_admitted.with_label_values(&[name]);
            fraction.set(i64::from(account.admitted_permille));
        }
        let others = self.account_requests.with_label_values(&["(others)"]);
        others.set(others_per_minute as i64);
    }

    /// The number of refusals by this node as entry.
    pub fn entry_refusals(&self, reason: RefusalReason) -> u64 {
        self.entry_refusals.get(reason as usize)
    }

    /// The number of refusals by this node as guard.
    pub fn guard_refusals(&self, reason: RefusalReason) -> u64 {
        self.guard_refusals.get(reason as usize)
    }

    /// The number of retries.
    pub fn retries(&self, reason: RetryReason) -> u64 {
        self.retries.get(reason as usize)
    }

    /// The registry, in which other modules register their metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("writing into memory does not fail");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("the name of a counter is valid");
    registry
        .register(Box::new(counter.clone()))
        .expect("the name of a counter is free");
    counter
}

pub(super) fn counter_by(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let opts = Opts::new(name, help);
    let counter = IntCounterVec::new(opts, labels).expect("the name of a counter is valid");
    registry
        .register(Box::new(counter.clone()))
        .expect("the name of a counter is free");
    counter
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the name of a gauge is valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("the name of a gauge is free");
    gauge
}

fn float_gauge(registry: &Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::new(name, help).expect("the name of a gauge is valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("the name of a gauge is free");
    gauge
}

fn gauge_by_class(registry: &Registry) -> IntGaugeVec {
    let opts = Opts::new(
        "sassafrasgap_guard_queue",
        "Calls that wait at the guard, by class (0 is the most important).",
    );
    let gauge = IntGaugeVec::new(opts, &["class"]).expect("the name of a gauge is valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("the name of a gauge is free");
    gauge
}

fn gauge_by_service(registry: &Registry, name: &str, help: &str) -> IntGaugeVec {
    gauge_by(registry, name, help, "service")
}

fn gauge_by(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let opts = Opts::new(name, help);
    let gauge = IntGaugeVec::new(opts, &[label]).expect("the name of a gauge is valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("the name of a gauge is free");
    gauge
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
    let histogram = Histogram::with_opts(opts).expect("the name of a histogram is valid");
    registry
        .register(Box::new(histogram.clone()))
        .expect("the name of a histogram is free");
    histogram
}
