//! The objects of the object store, in memory.

use bytes::Bytes;

use crate::core::FastMap;
use crate::core::Name;

/// The limit for all objects together, in bytes. The stand-in serves only tests and demos.
const MAX_TOTAL_BYTES: usize = 256 * 1024 * 1024;

/// All objects by name.
#[derive(Debug, Default)]
pub struct Objects {
    objects: FastMap<Name, Bytes>,
    total_bytes: usize,
}

impl Objects {
    /// The content of an object.
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Stores or replaces an object. Returns `false` if the size limit would be exceeded.
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
