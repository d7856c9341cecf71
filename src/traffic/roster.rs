//! One row a node: how nodes find each other, and what a node has to know after a restart.
//!
//! A row is written once its backend server is known and when that says that it leaves, never for a
//! heartbeat: who lives is told by gossip. Both work without the other.

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
use crate::traffic::find_others::FindOthers;
use crate::traffic::recall::recall_server;
use crate::traffic::roster_row::RosterRow;
use crate::traffic::roster_row::roster_key;
use crate::traffic::row_checks::RowChecks;
use crate::traffic::traffic::LocalNews;
use crate::traffic::traffic::Traffic;

/// The table with a row for each node.
const TABLE: &str = "nodes";
/// How long what is known from before a restart is waited for.
const OWN_ROW_WITHIN: Duration = Duration::from_millis(1_500);
/// How long a first row waits for the first report of the backend server, which comes within a heartbeat of
/// its own start: each write is paid for, and it would be written anew a moment later.
const FIRST_REPORT_WITHIN: Duration = Duration::from_millis(4_500);

/// Keeps the own row and finds others.
pub(super) struct Roster {
    pub(super) store: Arc<dyn Store>,
    pub(super) eras: EraWatch,
    pub(super) traffic: Arc<Traffic>,
    pub(super) control: Arc<ControlHandle>,
}

impl Roster {
    /// Runs for good.
    pub(super) async fn run(self) {
        let settings = &self.traffic.settings;
        let is_first_start = settings.is_first_start;
        let own_key = roster_key(&settings.node);
        let name = RowName {
            table: Name::from(TABLE),
            part: part_name(settings.store_rates.part_of(&settings.node)),
            key: own_key.clone(),
        };
        let mut keeper = RowWriter::new(self.store.clone(), name);
        // Holds true once others may be looked for; see [`FindOthers`].
        let (may_find, mut is_time) = watch::channel(!is_first_start);
        let others = FindOthers {
            store: self.store.clone(),
            control: self.control.clone(),
            table: Name::from(TABLE),
            rates: settings.store_rates,
            node: settings.node.clone(),
            domain: settings.domain.clone(),
            own_key,
            is_first_start,
        };
        let finding = async {
            // The sender lives as long as this does.
            drop(is_time.wait_for(|is_time| *is_time).await);
            others.run().await;
        };
        let own = async {
            let before = if is_first_start {
                self.write_first(&mut keeper).await
            } else {
                self.recall(&mut keeper).await
            };
            may_find.send_replace(true);
            self.keep(&mut keeper, before).await;
        };
        tokio::join!(own, finding);
    }

    /// Writes a first row. Answers what the row holds.
    ///
    /// Nothing is stored of a node when the whole system starts for the first time, so nothing is read.
    /// Should there be a row all the same, the write says so, and what it holds counts.
    async fn write_first(&self, keeper: &mut RowWriter) -> Option<RosterRow> {
        let mut news = self.traffic.local_news.subscribe();
        let is_known = |news: &LocalNews| news.known.is_some() || news.leaving.is_some();
        drop(timeout(FIRST_REPORT_WITHIN, news.wait_for(is_known)).await);
        keeper.assume_absent();
        let wanted = self.wanted(None);
        match keeper.write(&wanted.encode()).await {
            WriteOutcome::Written => Some(wanted),
            WriteOutcome::Retry(StoreError::Conflict { .. }) => self.recall(keeper).await,
            WriteOutcome::Retry(error) => {
                log::debug!("roster: the own row was not written, error={error}");
                None
            }
        }
    }

    /// Guards against a node that is restarted after its backend server said that it leaves: a
    /// report from before that, arriving late, would have it sent new work.
    ///
    /// Answers what the row holds.
    async fn recall(&self, keeper: &mut RowWriter) -> Option<RosterRow> {
        let row = match timeout(OWN_ROW_WITHIN, keeper.read()).await {
            Ok(Ok(row)) => row,
            Ok(Err(error)) => {
                log::warn!("roster: the own row cannot be read, error={error}");
                None
            }
            Err(_) => {
                log::warn!("roster: the own row was not read in time");
                None
            }
        };
        let before = row.as_ref().and_then(RosterRow::decode)?;
        if let Some(leaving) = &before.leaving {
            let started_unix_ms = before.leaving_started_unix_ms;
            self.traffic.local().note_gone(leaving, started_unix_ms);
        }
        Some(before)
    }

    /// Keeps the row as it has to be. `before` is what it holds, if that is known.
    async fn keep(&self, keeper: &mut RowWriter, before: Option<RosterRow>) {
        let known = before.as_ref().and_then(|before| before.known.clone());
        let asking = async {
            if let Some(known) = known {
                recall_server(self.traffic.clone(), known).await;
            }
        };
        tokio::join!(asking, self.keep_own(keeper, before));
    }

    async fn keep_own(&self, keeper: &mut RowWriter, before: Option<RosterRow>) {
        let mut held = before.clone();
        let mut news = self.traffic.local_news.subscribe();
        let mut checks = RowChecks::new(&self.eras);
        let mut pause = Backoff::default();
        loop {
            news.mark_unchanged();
            let wanted = self.wanted(before.as_ref());
            if held.as_ref() == Some(&wanted) {
                tokio::select! {
                    changed = news.changed() => if changed.is_err() {
                        return;
                    },
                    () = checks.due() => {
                        keeper.forget();
                        held = None;
                    }
                }
                continue;
            }
            match keeper.write(&wanted.encode()).await {
                WriteOutcome::Written => {
                    pause.reset();
                    held = Some(wanted);
                }
                WriteOutcome::Retry(error) => {
                    held = None;
                    log::debug!("roster: the own row was not written, error={error}");
                    sleep(Duration::from_millis(pause.after_failure(fastrand::f64()))).await;
                }
            }
        }
    }

    fn wanted(&self, before: Option<&RosterRow>) -> RosterRow {
        let news = self.traffic.local_news.borrow();
        let domain = &self.traffic.settings.domain;
        RosterRow::of(self.control.address, domain, &news, before)
    }
}
