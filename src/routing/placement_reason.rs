//! Why a call was placed in its failure domain.

/// Why a first attempt went to the failure domain that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlacementReason {
    /// It stayed in its own domain.
    Kept,
    /// The service's split sent it to another domain.
    Balanced,
    /// The wait or load at the own domain's targets was above the spill policy's threshold.
    Waited,
    /// No target in the own domain accepts calls without failing many of them.
    NoLocalTarget,
}

impl PlacementReason {
    /// Every reason, in the order of their declaration.
    pub const ALL: [Self; 4] = [
        Self::Kept,
        Self::Balanced,
        Self::Waited,
        Self::NoLocalTarget,
    ];

    /// The reason as it appears in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Balanced => "balanced",
            Self::Waited => "waited",
            Self::NoLocalTarget => "no_local_target",
        }
    }
}
