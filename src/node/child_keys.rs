//! The keys of the child calls of one call that runs at most once.
//!
//! Guards against a crash of one target that holds up work for the whole grace period: the new
//! owner of its slots refuses keys that it has not seen, for their first sending may have run
//! before. It shows as jobs that fail for the length of the resend window though every target is
//! back. The doubt is needless where no earlier sending can exist. That holds for a child key that
//! begins with its parent's key: it belongs to the parent's one run, all of whose calls pass here,
//! and here it is sent for the first time. See docs/DESIGN.md, "Keys of child calls".

use std::sync::Mutex;

use crate::core::FastSet;
use crate::core::Name;

/// Between the parent's key and what the backend server adds for a child call.
const KEY_SEPARATOR: char = '/';
/// Child keys remembered for one call; later ones are not taken to be sent for the first time.
const MAX_KEYS: usize = 256;

/// What a call that runs under a key sends on.
pub(super) struct ChildKeys {
    own: Name,
    sent: Mutex<FastSet<(Name, Name)>>,
}

impl ChildKeys {
    /// The keys of the children of the call that runs under `own`.
    pub(super) fn new(own: Name) -> Self {
        Self {
            own,
            sent: Mutex::new(FastSet::default()),
        }
    }

    /// Notes that `key` is sent to `service`. True when it belongs to this call alone and was not
    /// sent before.
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
