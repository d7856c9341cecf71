//! Which configuration is in force at this node: the decision, without I/O.

use std::sync::Arc;

use crate::conf::parse_preset;
use crate::control::ConfigDocument;
use crate::core::Name;
use crate::errors::SettingsError;
use crate::preset::InForce;
use crate::preset::Preset;

/// Where a document was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's table: nothing higher has been accepted anywhere.
    Platform,
    /// Another node, which may be behind.
    Peer,
}

/// Why an offered document is not brought into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IgnoreReason {
    /// Its version is not above the one in force.
    NotHigher { in_force: u64 },
    /// It has the version in force but another content. Versions are given by compare-and-set, so
    /// this is a fault of the program; the content already in force stays.
    OtherContent,
    /// It cannot be read here, for example because it was checked by a newer program.
    Unreadable(SettingsError),
    /// This node has just started and still asks its peers; the highest answer will be applied.
    StillAsking,
}

/// What becomes of an offered document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force from now on.
    Apply(InForce),
    Ignore(IgnoreReason),
}

/// A document whose preset has been checked.
#[derive(Clone, Debug)]
struct Accepted {
    document: ConfigDocument,
    preset: Arc<Preset>,
}

/// The configuration in force at one node.
///
/// A node keeps nothing over a restart. If it applied the first answer that it hears, a peer that
/// is behind (its failure domain was cut off until now) would take the node back to a version
/// lower than the one that it had in force before the restart. So it begins by asking: until the
/// platform has answered, or every peer asked has answered or failed, offers are only collected,
/// and then the highest comes into force. After that versions only rise.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    in_force: Option<Accepted>,
    /// The highest offer while still asking.
    best: Option<Accepted>,
}

impl ConfigState {
    /// The state of a node that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force, 0 when none is known.
    pub fn version(&self) -> u64 {
        self.in_force
            .as_ref()
            .map_or(0, |known| known.document.version)
    }

    /// The highest version that this node holds, in force or not. What is not higher need not be
    /// fetched.
    pub fn highest(&self) -> u64 {
        let best = self.best.as_ref().map_or(0, |best| best.document.version);
        best.max(self.version())
    }

    /// The document in force if its version is higher than `above`, for a peer that asks.
    pub fn document_above(&self, above: u64) -> Option<ConfigDocument> {
        let known = self.in_force.as_ref()?;
        (known.document.version > above).then(|| known.document.clone())
    }

    /// Takes in a document.
    pub fn offer(&mut self, document: ConfigDocument, source: Source) -> OfferOutcome {
        if let Some(ignored) = self.refuse_lower(&document) {
            return OfferOutcome::Ignore(ignored);
        }
        let preset = match parse_preset(&document.preset, &document.document) {
            Ok(preset) => Arc::new(preset),
            Err(error) => return OfferOutcome::Ignore(IgnoreReason::Unreadable(error)),
        };
        let accepted = Accepted { document, preset };
        if self.in_force.is_some() {
            return OfferOutcome::Apply(self.apply(accepted));
        }
        self.collect(accepted);
        match source {
            Source::Platform => self.finish_initial_queries().map_or(
                OfferOutcome::Ignore(IgnoreReason::StillAsking),
                OfferOutcome::Apply,
            ),
            Source::Peer => OfferOutcome::Ignore(IgnoreReason::StillAsking),
        }
    }

    /// Every peer asked has answered or failed: the highest answer comes into force. `None` when
    /// something is in force already or nothing was heard.
    pub fn finish_initial_queries(&mut self) -> Option<InForce> {
        let best = self.best.take()?;
        Some(self.apply(best))
    }

    fn refuse_lower(&self, document: &ConfigDocument) -> Option<IgnoreReason> {
        let known = self.in_force.as_ref()?;
        let in_force = known.document.version;
        if document.version == in_force && document.document != known.document.document {
            return Some(IgnoreReason::OtherContent);
        }
        (document.version <= in_force).then_some(IgnoreReason::NotHigher { in_force })
    }

    fn collect(&mut self, accepted: Accepted) {
        if accepted.document.version > self.highest() {
            self.best = Some(accepted);
        }
    }

    /// The one place where a version comes into force.
    fn apply(&mut self, accepted: Accepted) -> InForce {
        debug_assert!(accepted.document.version > self.version(), "versions rise");
        let in_force = InForce {
            version: accepted.document.version,
            preset: accepted.preset.clone(),
        };
        self.in_force = Some(accepted);
        in_force
    }

    /// The name of the preset in force.
    pub fn preset(&self) -> Option<&Name> {
        self.in_force.as_ref().map(|known| &known.document.preset)
    }
}
