//! Looks up accounts by key and by name.

use std::sync::Arc;

use crate::accounts::Account;
use crate::accounts::KeyHash;
use crate::accounts::KeyTag;
use crate::core::FastMap;
use crate::core::Name;

/// The accounts of one desired state, indexed by key and by name.
#[derive(Debug, Default)]
pub struct AccountTable {
    by_key: FastMap<KeyHash, Arc<Account>>,
    by_name: FastMap<Name, Arc<Account>>,
}

impl AccountTable {
    /// Indexes the accounts of a desired state, which guarantees that no two share a key.
    pub fn new(accounts: &[Account]) -> Self {
        let mut table = Self::default();
        for account in accounts {
            let account = Arc::new(account.clone());
            for key in &account.keys {
                table.by_key.insert(*key, account.clone());
            }
            table.by_name.insert(account.name.clone(), account);
        }
        table
    }

    /// The account that holds a key; `None` if no account does.
    pub fn holder(&self, key: KeyHash) -> Option<&Arc<Account>> {
        self.by_key.get(&key)
    }

    pub fn named(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Whether the account of this name holds a key with this tag.
    pub fn still_holds(&self, name: &str, tag: KeyTag) -> bool {
        let account = self.named(name);
        account.is_some_and(|account| account.keys.iter().any(|key| key.tag() == tag))
    }

    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
