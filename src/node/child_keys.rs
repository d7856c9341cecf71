//! The keys of the child calls of a call that runs at most once.
//!
//! After a crash of a target, the new owner of its slots refuses unseen keys during the grace
//! period, since an earlier attempt may have run. Jobs would then fail for the length of the resend
//! window even though all targets are back. The refusal is unnecessary if no earlier attempt can
//! exist. That is so for a child key that begins with its parent's key and is sent for the first
//! time: it belongs to the single run of the parent, and all calls of that run pass this node. See
//! docs/DESIGN.md, "Keys of child calls".

use std::sync::Mutex;

use crate::core::FastSet;
use crate::core::Name;

/// Separates the parent's key from the suffix that the backend server adds for a child call.
const KEY_SEPARATOR: char = '/';
/// The maximum number of child keys remembered per call. Later ones are not treated as first sent.
const MAX_KEYS: usize = 256;

/// The child keys sent on behalf of a call that runs under a key.
pub(super) struct ChildKeys {
    parent_key: Name,
    sent: Mutex<FastSet<(Name, Name)>>,
}

impl ChildKeys {
    /// Creates the set for the call that runs under `parent_key`.
    pub(super) fn new(parent_key: Name) -> Self {
        Self {
            parent_key,
            sent: Mutex::new(FastSet::default()),
        }
    }

    /// Records that `key` is sent to `service`. Returns true if the key belongs to this call alone
    /// and was not sent before.
    pub(super) fn is_first_sending(&self, service: &Name, key: &Name) -> bool {
        let suffix = key.strip_prefix(&*self.parent_key);
        let is_own = suffix.is_some_and(|suffix| suffix.starts_with(KEY_SEPARATOR));
        let mut sent = self.sent.lock().expect("no holder panics");
        if !is_own || sent.len() >= MAX_KEYS {
            return false;
        }
        sent.insert((service.clone(), key.clone()))
    }
}
