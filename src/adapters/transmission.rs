//! How far the sending of one request has come.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::adapters::ConnectionWrites;
use crate::errors::SendError;

/// Where a request is.
#[derive(Debug, Default)]
enum Stage {
    /// It waits for a connection.
    #[default]
    Waiting,
    /// It was handed to a connection, as the request with this number.
    OnConnection(Arc<ConnectionWrites>, u64),
    /// It was cancelled before it got a connection.
    Cancelled,
}

/// The sending of one request, as seen by its sender, who may have dropped the future that sends
/// it. One value belongs to one request.
#[derive(Debug, Default)]
pub struct Transmission {
    stage: Mutex<Stage>,
}

impl Transmission {
    /// Cancels the request if no byte of it has left this process. Returns whether that is so; none
    /// will leave it later then.
    pub fn cancel_unsent(&self) -> bool {
        let mut stage = self.lock();
        match &*stage {
            Stage::OnConnection(writes, number) if !writes.seal(*number) => return false,
            Stage::Waiting | Stage::OnConnection(..) | Stage::Cancelled => {}
        }
        *stage = Stage::Cancelled;
        true
    }

    /// Records that the request is handed to a connection next. An earlier connection, if any, has
    /// returned it unsent.
    ///
    /// # Errors
    /// When the request was cancelled or the connection cannot be used. It must not be sent then.
    pub(super) fn hand_over(&self, writes: &Arc<ConnectionWrites>) -> Result<(), SendError> {
        let mut stage = self.lock();
        let number = match &*stage {
            Stage::Cancelled => None,
            Stage::Waiting | Stage::OnConnection(..) => writes.start_request(),
        };
        let number = number.ok_or(SendError::Connect(io::ErrorKind::NotConnected.into()))?;
        *stage = Stage::OnConnection(writes.clone(), number);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Stage> {
        self.stage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
