//! Hash maps with a fast hasher. Keys come from inside or are bounded, so the hasher need not
//! resist chosen keys; every map in the product has a bound and an eviction rule of its own.

use std::collections::HashMap;
use std::collections::HashSet;

use rustc_hash::FxBuildHasher;

/// The map that the whole crate uses.
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// A map of which a copy shares all that has not changed since: taking one costs the same at any size.
pub type SharedMap<K, V> =
    imbl::GenericHashMap<K, V, FxBuildHasher, imbl::shared_ptr::DefaultSharedPtr>;

/// The set that the whole crate uses.
pub type FastSet<T> = HashSet<T, FxBuildHasher>;
