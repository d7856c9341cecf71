//! The keys of the child calls of a call that runs at most once.
//!
//! After a crash of a target, the new owner of its slots refuses unseen keys during the grace
//! period, since an earlier attempt may have run. Jobs would then fail for the length of the resend
//! window even though all targets are back. This is unnecessary where no earlier attempt can exist,
//! as for a child key that begins with its parent's key: it belongs to the parent's single run, all
//! of whose calls pass this node, and it is sent here for the first time. See docs/DESIGN.md, "Keys
//! of child calls".

use std::sync::Mutex;

use crate::core::FastSet;
use crate::core::Name;

/// Separates the parent's key from the suffix that the backend server adds for a child call.
const KEY_SEPARATOR: char = '/';
/// The maximum number of child keys remembered per call. Later ones are not treated as first sent.
const MAX_KEYS: usize = 256;

/// The child keys sent on behalf of a call that runs under a key.
pub(super) struct ChildKeys {
    own: Name,
    sent: Mutex<FastSet<(Name, Name)>>,
}

impl ChildKeys {
    /// Creates the set for the call that runs under the key `own`.
    pub(super) fn new(own: Name) -> Self {
        Self {
            own,
            sent: Mutex::new(FastSet::default()),
        }
    }

    /// Records that `key` is sent to `service`. Returns true if the key belongs to this call alone
    /// and was not sent before.
    pub(super) fn is_first_sending(&self, service: &Name, key: &Name) -> bool {
        let added = key.strip_prefix(&*self.own);
        let is_own = added.is_some_and(|added| added.starts_with(KEY_SEPARATOR));
        let mut sent = self.sent.lock().expect("no holder panics");
        if !is_own || sent.len() >= MAX_KEYS {
            return false;
        }
        sent.insert((service.clone(), key.clone()))
    }
}
