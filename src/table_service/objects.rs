//! The objects of the object store, in memory.

use bytes::Bytes;

use crate::core::FastMap;
use crate::core::Name;

/// How many bytes all objects together may have; the stand-in serves tests and demos.
const MAX_TOTAL_BYTES: usize = 256 * 1024 * 1024;

/// All objects by name.
#[derive(Debug, Default)]
pub struct Objects {
    objects: FastMap<Name, Bytes>,
    total_bytes: usize,
}

impl Objects {
    /// One object.
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Writes an object whole; `false` when there is no room for it.
    pub fn put(&mut self, name: &str, content: Bytes) -> bool {
        let replaced_bytes = self.objects.get(name).map_or(0, Bytes::len);
        let total_bytes = self.total_bytes - replaced_bytes + content.len();
        if total_bytes > MAX_TOTAL_BYTES {
            return false;
        }
        self.total_bytes = total_bytes;
        self.objects.insert(Name::from(name), content);
        true
    }
}
