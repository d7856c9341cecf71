//! The metrics of the configuration task.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::configuration::IgnoreReason;
use crate::configuration::PeerAnswer;
use crate::configuration::PollOutcome;
use crate::configuration::Source;

/// Counts polls of the platform, queries to peers, and documents applied or ignored.
#[derive(Clone, Debug)]
pub struct ConfigMetrics {
    polls: IntCounterVec,
    peer_queries: IntCounterVec,
    applied: IntCounterVec,
    ignored: IntCounterVec,
    pub dropped_updates: IntCounter,
}

impl ConfigMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// When one of the names is registered already.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let vec = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let dropped_updates = IntCounter::new(
            "sassafrasgap_config_news_dropped_total",
            "News of a configuration that came while many others waited.",
        )?;
        registry.register(Box::new(dropped_updates.clone()))?;
        Ok(Self {
            polls: vec(
                "sassafrasgap_config_polls_total",
                "Polls of the platform for the configuration in force.",
                "outcome",
            )?,
            peer_queries: vec(
                "sassafrasgap_config_peer_asks_total",
                "Questions to peers for a newer configuration.",
                "outcome",
            )?,
            applied: vec(
                "sassafrasgap_config_applied_total",
                "Configurations that came into force here, by where they were heard of.",
                "source",
            )?,
            ignored: vec(
                "sassafrasgap_config_ignored_total",
                "Configurations that were offered and not brought into force.",
                "reason",
            )?,
            dropped_updates,
        })
    }

    pub(super) fn count_poll(&self, outcome: PollOutcome) {
        let label = match outcome {
            PollOutcome::Answered => "answered",
            PollOutcome::Failed => "failed",
        };
        self.polls.with_label_values(&[label]).inc();
    }

    pub(super) fn count_peer_query(&self, answer: &PeerAnswer) {
        let label = match answer {
            PeerAnswer::Newer(_) => "newer",
            PeerAnswer::NothingNewer => "nothing_newer",
            PeerAnswer::NoAnswer => "no_answer",
        };
        self.peer_queries.with_label_values(&[label]).inc();
    }

    pub(super) fn count_applied(&self, source: Source) {
        let label = match source {
            Source::Platform => "platform",
            Source::Peer => "peer",
        };
        self.applied.with_label_values(&[label]).inc();
    }

    pub(super) fn count_ignored(&self, reason: &IgnoreReason) {
        let label = match reason {
            IgnoreReason::NotHigher { .. } => "not_higher",
            IgnoreReason::OtherContent => "other_content",
            IgnoreReason::Unreadable(_) => "unreadable",
            IgnoreReason::StillAsking => "still_asking",
        };
        self.ignored.with_label_values(&[label]).inc();
    }
}
