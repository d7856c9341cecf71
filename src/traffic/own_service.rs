//! The service of the local backend server.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::Name;

/// The service that the backend server reported or the settings named, whichever changed last.
///
/// Guards against requests that name the service of an earlier backend server as their caller: the
/// backend server's address can go to another service while the node runs.
#[derive(Debug)]
pub(super) struct OwnService {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    configured: Name,
    current: Name,
}

impl OwnService {
    /// The service of the settings, until a report names another one.
    pub(super) fn new(configured: Name) -> Self {
        let current = configured.clone();
        Self {
            state: Mutex::new(State {
                configured,
                current,
            }),
        }
    }

    /// The current service.
    pub(super) fn current(&self) -> Name {
        self.lock().current.clone()
    }

    /// Whether the settings or the backend server name this service.
    pub(super) fn is_known(&self, service: &str) -> bool {
        let state = self.lock();
        *state.configured == *service || *state.current == *service
    }

    /// Applies a service that differs from what the backend server reported before.
    pub(super) fn set_reported(&self, reported: Name) {
        self.lock().current = reported;
    }

    /// Applies the service of changed settings. Returns whether it differs from that before.
    pub(super) fn set_configured(&self, configured: &Name) -> bool {
        let mut state = self.lock();
        if state.configured == *configured {
            return false;
        }
        state.configured = configured.clone();
        state.current = configured.clone();
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
