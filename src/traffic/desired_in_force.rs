//! The desired state in force here: read by every request, replaced whole, never by an older one.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwapOption;

use crate::accounts::AccountTable;
use crate::accounts::Ranking;
use crate::control::ConfigDocument;
use crate::core::Name;
use crate::desired::ClientLimits;
use crate::desired::DesiredState;
use crate::desired::RouteTable;

/// A desired state, ready for look-ups.
#[derive(Debug)]
pub struct InForce {
    pub state: DesiredState,
    pub routes: RouteTable,
    /// `None` where no request needs a key.
    pub accounts: Option<AccountTable>,
    /// The order of importance of its accounts' and routes' ranks.
    pub ranking: Ranking,
}

/// What is in force; `None` until a first desired state is known.
#[derive(Debug, Default)]
pub struct DesiredInForce {
    in_force: ArcSwapOption<InForce>,
    /// Held while a new one comes into force, so that two cannot do so in the wrong order.
    changing: Mutex<()>,
}

impl DesiredInForce {
    /// What is in force.
    pub fn load(&self) -> Option<Arc<InForce>> {
        self.in_force.load_full()
    }

    /// The version in force, 0 while there is none.
    pub fn version(&self) -> u64 {
        let in_force = self.in_force.load();
        in_force.as_ref().map_or(0, |known| known.state.version)
    }

    /// What callers may send at present.
    pub fn limits(&self) -> ClientLimits {
        let in_force = self.in_force.load();
        in_force
            .as_ref()
            .map_or_else(ClientLimits::default, |known| known.state.limits)
    }

    /// Puts a desired state into force if its version is higher. Answers whether it was.
    pub fn apply_if_newer(&self, state: DesiredState) -> bool {
        let _changing = self.changing.lock().unwrap_or_else(PoisonError::into_inner);
        if state.version <= self.version() {
            return false;
        }
        let routes = RouteTable::new(&state);
        let accounts = state.accounts.as_deref().map(AccountTable::new);
        let ranking = ranking(&state);
        log::info!(
            "config: in force, version={} routes={} accounts={} places={}",
            state.version,
            state.routes.len(),
            accounts.as_ref().map_or(0, AccountTable::len),
            ranking.places()
        );
        self.in_force.store(Some(Arc::new(InForce {
            state,
            routes,
            accounts,
            ranking,
        })));
        true
    }

    /// The document for a peer that holds a version below.
    pub fn document_above(&self, above: u64) -> Option<ConfigDocument> {
        let known = self.load().filter(|known| known.state.version > above)?;
        match serde_json::to_string(&known.state) {
            Ok(document) => Some(ConfigDocument {
                version: known.state.version,
                preset: Name::from(""),
                document,
            }),
            Err(error) => {
                log::error!("config: cannot be encoded for a peer, error={error}");
                None
            }
        }
    }

    /// Takes in a document that a peer has in force.
    pub fn apply_document(&self, document: &ConfigDocument) -> bool {
        match serde_json::from_str(&document.document) {
            Ok(state) => self.apply_if_newer(state),
            Err(error) => {
                log::error!(
                    "config: a peer's document cannot be read, version={} error={error}",
                    document.version
                );
                false
            }
        }
    }
}

fn ranking(state: &DesiredState) -> Ranking {
    let accounts = state.accounts.iter().flatten();
    let accounts: Vec<Option<u8>> = accounts.map(|account| account.rank).collect();
    let routes: Vec<u8> = state.routes.iter().map(|route| route.rank).collect();
    Ranking::new(&accounts, &routes)
}
