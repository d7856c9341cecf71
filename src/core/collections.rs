//! Hash maps with a fast hasher.
//!
//! The hasher does not resist chosen keys. It need not, because keys are internal or bounded. Every
//! map has a size bound and an eviction rule of its own.

use std::collections::HashMap;
use std::collections::HashSet;

use rustc_hash::FxBuildHasher;

/// The hash map used throughout the crate.
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// A persistent map: a clone shares all unchanged entries, and cloning takes constant time.
pub type SharedMap<K, V> =
    imbl::GenericHashMap<K, V, FxBuildHasher, imbl::shared_ptr::DefaultSharedPtr>;

/// The hash set used throughout the crate.
pub type FastSet<T> = HashSet<T, FxBuildHasher>;
