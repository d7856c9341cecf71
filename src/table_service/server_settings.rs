//! Settings of the stand-in platform.

/// The rate limits, in operations per second. The defaults are the limits given in the brief.
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
