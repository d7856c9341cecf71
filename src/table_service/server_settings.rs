//! What the stand-in platform allows.

/// The rate limits; those of the brief unless set otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSettings {
    pub writes_per_s: u32,
    pub reads_per_s: u32,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            writes_per_s: 600,
            reads_per_s: 2_000,
        }
    }
}
