//! Exit codes, so that scripts can tell what happened.

use crate::errors::ConfigError;
use crate::errors::CtlError;
use crate::errors::PlatformError;

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done, or nothing had to be done.
    Ok = 0,
    /// Refused, or a problem was found; nothing was changed.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Another operator's change came first; nothing was changed.
    Conflict = 3,
    /// The platform or the node could not be reached; nothing was changed.
    Unreachable = 4,
    /// The change may have taken effect; the same command with `--change-id` finds out.
    Unknown = 5,
}

impl Exit {
    /// The exit code of a failure.
    pub fn of(error: &CtlError) -> Self {
        match error {
            CtlError::Config(error) => Self::of_config(error),
            CtlError::NodeUnreachable { .. } => Self::Unreachable,
            CtlError::Usage { .. } => Self::Usage,
            CtlError::NodeRefused { .. }
            | CtlError::NodeUnreadable { .. }
            | CtlError::LogUnreadable { .. }
            | CtlError::Start { .. } => Self::Refused,
        }
    }

    fn of_config(error: &ConfigError) -> Self {
        match error {
            ConfigError::Conflict { .. } | ConfigError::PublishConflict { .. } => Self::Conflict,
            ConfigError::OutcomeUnknown { .. } => Self::Unknown,
            ConfigError::Platform(error) => Self::of_platform(error),
            ConfigError::Settings(_)
            | ConfigError::UnknownPreset { .. }
            | ConfigError::TooLarge { .. }
            | ConfigError::MalformedRow { .. }
            | ConfigError::DocumentMissing { .. } => Self::Refused,
        }
    }

    fn of_platform(error: &PlatformError) -> Self {
        match error {
            PlatformError::Unavailable
            | PlatformError::RateLimited
            | PlatformError::ReadTimedOut { .. } => Self::Unreachable,
            PlatformError::OutcomeUnknown => Self::Unknown,
            PlatformError::Conflict { .. } => Self::Conflict,
            PlatformError::Rejected { .. }
            | PlatformError::Malformed { .. }
            | PlatformError::InvalidKey { .. } => Self::Refused,
        }
    }

    /// The word that scripts find in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Refused => "refused",
            Self::Usage => "usage",
            Self::Conflict => "conflict",
            Self::Unreachable => "unreachable",
            Self::Unknown => "unknown",
        }
    }
}
