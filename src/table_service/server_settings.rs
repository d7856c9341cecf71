//! Settings of the stand-in platform.

/// The rate limits. The defaults are the limits of the real platform as given in the brief.
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
