//! Decides which configuration is in force at this node, without I/O.

use std::sync::Arc;

use crate::conf::parse_preset;
use crate::control::ConfigDocument;
use crate::core::Name;
use crate::errors::SettingsError;
use crate::preset::InForce;
use crate::preset::Preset;

/// Where a document came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's table: no higher version has been accepted anywhere.
    Platform,
    /// Another node, which may be behind.
    Peer,
}

/// Why an offered document is not brought into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IgnoreReason {
    /// The version is not above the one in force.
    NotHigher { in_force: u64 },
    /// The version is the one in force, but the content differs. Versions are assigned by
    /// compare-and-set, so this is a defect of the program. The content in force stays.
    OtherContent,
    /// This program cannot parse the document, for example because a newer program published it.
    Unreadable(SettingsError),
    /// This node has just started and is still querying its peers. The highest answer will be
    /// applied.
    StillAsking,
}

/// The outcome of offering a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// This configuration is in force from now on.
    Apply(InForce),
    Ignore(IgnoreReason),
}

/// A document with its parsed and checked preset.
#[derive(Clone, Debug)]
struct ParsedDocument {
    document: ConfigDocument,
    preset: Arc<Preset>,
}

/// The configuration in force at one node.
///
/// A node persists no configuration over a restart. If it applied the first answer, a peer that is
/// behind because its failure domain was cut off until now would take the node back to a version
/// lower than the one that it had in force before the restart. So the node starts by querying its
/// peers. Offers are only collected until the platform has answered, or every queried peer has
/// answered or failed. Then the highest one comes into force. After that, versions only increase.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    in_force: Option<ParsedDocument>,
    /// The highest offer while peers are still being queried.
    highest_offer: Option<ParsedDocument>,
}

impl ConfigState {
    /// The state of a node that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force, or 0 if none is known.
    pub fn version(&self) -> u64 {
        self.in_force
            .as_ref()
            .map_or(0, |current| current.document.version)
    }

    /// The highest version that this node holds, in force or not. Only higher versions need to be
    /// fetched.
    pub fn highest(&self) -> u64 {
        let collected_version = self
            .highest_offer
            .as_ref()
            .map_or(0, |collected| collected.document.version);
        collected_version.max(self.version())
    }

    /// The document in force if its version is higher than `above`, for a peer that requests it.
    pub fn document_above(&self, above: u64) -> Option<ConfigDocument> {
        let current = self.in_force.as_ref()?;
        (current.document.version > above).then(|| current.document.clone())
    }

    /// Applies, collects or ignores a document.
    pub fn offer(&mut self, document: ConfigDocument, source: Source) -> OfferOutcome {
        if let Some(ignored) = self.reason_to_ignore(&document) {
            return OfferOutcome::Ignore(ignored);
        }
        let preset = match parse_preset(&document.preset, &document.document) {
            Ok(preset) => Arc::new(preset),
            Err(error) => return OfferOutcome::Ignore(IgnoreReason::Unreadable(error)),
        };
        let parsed = ParsedDocument { document, preset };
        if self.in_force.is_some() {
            return OfferOutcome::Apply(self.apply(parsed));
        }
        self.collect(parsed);
        match source {
            Source::Platform => self.finish_initial_queries().map_or(
                OfferOutcome::Ignore(IgnoreReason::StillAsking),
                OfferOutcome::Apply,
            ),
            Source::Peer => OfferOutcome::Ignore(IgnoreReason::StillAsking),
        }
    }

    /// To be called when every queried peer has answered or failed. The highest answer comes into
    /// force. Returns `None` if a version is in force already or no peer had one.
    pub fn finish_initial_queries(&mut self) -> Option<InForce> {
        let highest_offer = self.highest_offer.take()?;
        Some(self.apply(highest_offer))
    }

    fn reason_to_ignore(&self, document: &ConfigDocument) -> Option<IgnoreReason> {
        let current = self.in_force.as_ref()?;
        let in_force = current.document.version;
        if document.version == in_force && document.document != current.document.document {
            return Some(IgnoreReason::OtherContent);
        }
        (document.version <= in_force).then_some(IgnoreReason::NotHigher { in_force })
    }

    fn collect(&mut self, parsed: ParsedDocument) {
        if parsed.document.version > self.highest() {
            self.highest_offer = Some(parsed);
        }
    }

    /// Brings a version into force. No other function does so.
    fn apply(&mut self, parsed: ParsedDocument) -> InForce {
        debug_assert!(
            parsed.document.version > self.version(),
            "versions increase"
        );
        let in_force = InForce {
            version: parsed.document.version,
            preset: parsed.preset.clone(),
        };
        self.in_force = Some(parsed);
        in_force
    }

    /// The name of the preset in force.
    pub fn preset(&self) -> Option<&Name> {
        self.in_force
            .as_ref()
            .map(|current| &current.document.preset)
    }
}
