//! Stores one row per node, for the discovery of other nodes and for the node's own restart.
//!
//! A row is written once the backend server is known, and when it is leaving, but not at
//! heartbeats: liveness is detected by gossip. The store and gossip work without each other.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::control::ControlHandle;
use crate::core::Name;
use crate::errors::StoreError;
use crate::store::Backoff;
use crate::store::EraWatch;
use crate::store::RowName;
use crate::store::RowWriter;
use crate::store::Store;
use crate::store::WriteOutcome;
use crate::store::part_name;
use crate::traffic::LocalChange;
use crate::traffic::peer_discovery::PeerDiscovery;
use crate::traffic::roster_row::RosterRow;
use crate::traffic::roster_row::roster_key;
use crate::traffic::row_checks::RowChecks;
use crate::traffic::server_restore::restore_server;
use crate::traffic::traffic::LocalServerStatus;
use crate::traffic::traffic::Traffic;

/// The table with a row for each node.
const TABLE: &str = "nodes";
/// Time-out for the read of the node's own row after a restart.
const OWN_ROW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the first write of a row waits for the first report of the backend server, which comes
/// within a heartbeat of the server's start. Without the wait, a second and costly write would
/// follow shortly after.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Maintains this node's row and discovers other nodes.
pub(super) struct Roster {
    pub(super) store: Arc<dyn Store>,
    pub(super) eras: EraWatch,
    pub(super) traffic: Arc<Traffic>,
    pub(super) control: Arc<ControlHandle>,
}

impl Roster {
    /// Runs until the process ends.
    pub(super) async fn run(self) {
        let settings = &self.traffic.settings;
        let is_first_start = settings.is_first_start;
        let own_key = roster_key(&settings.node);
        let name = RowName {
            table: Name::from(TABLE),
            part: part_name(settings.store_rates.part_of(&settings.node)),
            key: own_key.clone(),
        };
        let mut writer = RowWriter::new(self.store.clone(), name);
        // True once discovery may start; see [`PeerDiscovery`].
        let (allow_discovery, mut is_allowed) = watch::channel(!is_first_start);
        let others = PeerDiscovery {
            store: self.store.clone(),
            control: self.control.clone(),
            table: Name::from(TABLE),
            rates: settings.store_rates,
            node: settings.node.clone(),
            domain: settings.domain.clone(),
            own_key,
            is_first_start,
        };
        let discovery = async {
            // The sender outlives this future.
            drop(is_allowed.wait_for(|is_allowed| *is_allowed).await);
            others.run().await;
        };
        let own = async {
            let before = self.first_contact(&mut writer, &allow_discovery).await;
            self.keep(&mut writer, before).await;
        };
        tokio::join!(own, discovery);
    }

    /// Reads this node's row, or writes it on a first start, as often as needed until the store
    /// answers. Returns the content of the row, if it exists.
    ///
    /// Guards against work for a backend server that has left, after a restart while the store
    /// rejects this node: the row may hold its departure, so a failed read must not count as an
    /// absent row, and a row that was not read must not be overwritten. Discovery needs no row, and
    /// may start after the first attempt.
    async fn first_contact(
        &self,
        writer: &mut RowWriter,
        allow_discovery: &watch::Sender<bool>,
    ) -> Option<RosterRow> {
        let mut is_assumed_absent = self.traffic.settings.is_first_start;
        if is_assumed_absent {
            self.wait_for_first_report().await;
            writer.assume_absent();
        }
        let mut pause = Backoff::default();
        loop {
            let row = if is_assumed_absent {
                self.write_first(writer).await
            } else {
                self.read_own_row(writer).await
            };
            allow_discovery.send_replace(true);
            match row {
                Ok(row) => return row,
                Err(StoreError::Conflict { .. }) if is_assumed_absent => is_assumed_absent = false,
                Err(error) => {
                    log::warn!("roster: own row not read or written yet, error={error}");
                    is_assumed_absent &= error.is_not_done();
                    sleep(Duration::from_millis(pause.after_failure(fastrand::f64()))).await;
                }
            }
        }
    }

    async fn wait_for_first_report(&self) {
        let mut status = self.traffic.local_status.subscribe();
        let is_known =
            |status: &LocalServerStatus| status.known.is_some() || status.departure.is_some();
        drop(timeout(FIRST_REPORT_TIMEOUT, status.wait_for(is_known)).await);
    }

    /// Writes this node's row for the first time. Returns the content of the row.
    ///
    /// On the first start of the whole system the store has no rows, so nothing is read first. If a
    /// row exists nevertheless, the write fails with a conflict.
    async fn write_first(&self, writer: &mut RowWriter) -> Result<Option<RosterRow>, StoreError> {
        let wanted = self.wanted_row(None);
        match writer.write(&wanted.encode()).await {
            WriteOutcome::Written => Ok(Some(wanted)),
            WriteOutcome::Retry(error) => Err(error),
        }
    }

    /// Reads this node's row, and restores a departure of the backend server from it. Returns the
    /// content of the row, if it exists.
    ///
    /// Without the restored departure, a late report from before it would cause new work to be sent
    /// to the backend server after a restart of the node.
    async fn read_own_row(&self, writer: &mut RowWriter) -> Result<Option<RosterRow>, StoreError> {
        let row = timeout(OWN_ROW_TIMEOUT, writer.read())
            .await
            .unwrap_or_else(|_| Err(StoreError::NoAnswer("time-out".to_owned())))?;
        let before = row.as_ref().and_then(RosterRow::decode);
        let departure = before.as_ref().and_then(RosterRow::departure);
        let now = self.traffic.clock.now();
        self.traffic.update_local(|local| {
            let change = local.restore_departure(now, departure);
            if change == LocalChange::Changed {
                log::info!("local: stored departure restored after a report of readiness");
            }
            change
        });
        self.traffic.is_own_row_read.send_replace(true);
        Ok(before)
    }

    /// Keeps the row up to date. `before` is its stored content, if known.
    async fn keep(&self, writer: &mut RowWriter, before: Option<RosterRow>) {
        let known = before.as_ref().and_then(|before| before.known.clone());
        let restoring = async {
            if let Some(known) = known {
                restore_server(self.traffic.clone(), known).await;
            }
        };
        tokio::join!(restoring, self.maintain_row(writer, before));
    }

    async fn maintain_row(&self, writer: &mut RowWriter, before: Option<RosterRow>) {
        let mut written = before.clone();
        let mut status = self.traffic.local_status.subscribe();
        let mut handover = self.traffic.retry_handover.subscribe();
        let mut checks = RowChecks::new(&self.eras);
        let mut pause = Backoff::default();
        loop {
            status.mark_unchanged();
            handover.mark_unchanged();
            let wanted = self.wanted_row(before.as_ref());
            if written.as_ref() == Some(&wanted) {
                tokio::select! {
                    changed = status.changed() => if changed.is_err() {
                        return;
                    },
                    changed = handover.changed() => if changed.is_err() {
                        return;
                    },
                    () = checks.due() => {
                        writer.forget();
                        written = None;
                    }
                }
                continue;
            }
            match writer.write(&wanted.encode()).await {
                WriteOutcome::Written => {
                    pause.reset();
                    match wanted.retry_handover {
                        Some(_) => {
                            self.traffic.is_handed_over.send_replace(true);
                        }
                        None => self.apply_handover(before.as_ref()),
                    }
                    written = Some(wanted);
                }
                WriteOutcome::Retry(error) => {
                    written = None;
                    log::debug!("roster: own row not written, error={error}");
                    sleep(Duration::from_millis(pause.after_failure(fastrand::f64()))).await;
                }
            }
        }
    }

    fn wanted_row(&self, before: Option<&RosterRow>) -> RosterRow {
        let status = self.traffic.local_status.borrow();
        let domain = &self.traffic.settings.domain;
        let handover = self.traffic.retry_handover.borrow().clone();
        RosterRow::of(self.control.address, domain, &status, before, handover)
    }

    /// Continues with the predecessor's retries. Called once they are no longer in the row, where the
    /// successor of a killed process would find them again.
    fn apply_handover(&self, before: Option<&RosterRow>) {
        let window_ms = self.traffic.live().retry_bound.window_ms;
        let handover = before.and_then(|before| before.retry_handover.as_ref());
        if let Some(handover) = handover.filter(|handover| handover.is_recent(window_ms)) {
            let retries = handover.retries.clone();
            self.traffic.budgets.set_predecessor(retries);
        }
    }
}
