//! The desired state in force at this node: read by every request, replaced as a whole, never by an
//! older one.

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

/// A desired state, indexed for look-ups.
#[derive(Debug)]
pub struct InForce {
    pub state: DesiredState,
    pub routes: RouteTable,
    /// `None` where no request needs a key.
    pub accounts: Option<AccountTable>,
    /// The priority order of the ranks of accounts and routes.
    pub ranking: Ranking,
}

/// Holds the desired state in force; `None` until a first one is known.
#[derive(Debug, Default)]
pub struct DesiredInForce {
    in_force: ArcSwapOption<InForce>,
    /// Held while the state is replaced, so concurrent replacements keep the order of versions.
    changing: Mutex<()>,
}

impl DesiredInForce {
    /// The desired state in force.
    pub fn load(&self) -> Option<Arc<InForce>> {
        self.in_force.load_full()
    }

    /// The version in force, 0 while there is none.
    pub fn version(&self) -> u64 {
        let in_force = self.in_force.load();
        in_force.as_ref().map_or(0, |known| known.state.version)
    }

    /// The current limits of callers' requests.
    pub fn limits(&self) -> ClientLimits {
        let in_force = self.in_force.load();
        in_force
            .as_ref()
            .map_or_else(ClientLimits::default, |known| known.state.limits)
    }

    /// Puts a desired state into force if its version is higher. Returns whether it was.
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

    /// The document for a peer whose version is `above`; `None` if this node has nothing newer.
    pub fn document_above(&self, above: u64) -> Option<ConfigDocument> {
        let known = self.load().filter(|known| known.state.version > above)?;
        match serde_json::to_string(&known.state) {
            Ok(document) => Some(ConfigDocument {
                version: known.state.version,
                preset: Name::from(""),
                document,
            }),
            Err(error) => {
                log::error!("config: desired state cannot be encoded for a peer, error={error}");
                None
            }
        }
    }

    /// Applies a document that a peer has in force. Returns whether it was newer.
    pub fn apply_document(&self, document: &ConfigDocument) -> bool {
        match serde_json::from_str(&document.document) {
            Ok(state) => self.apply_if_newer(state),
            Err(error) => {
                log::error!(
                    "config: desired state from a peer cannot be decoded, version={} error={error}",
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
