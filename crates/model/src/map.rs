//! Hash collections with a fast hasher.
//!
//! Keys that callers choose are only ever looked up in these maps, never inserted, so the
//! hasher's weakness against chosen keys gives a caller no leverage.

use std::collections::{HashMap, HashSet};

use rustc_hash::FxBuildHasher;

/// Hash map with a fast, unseeded hasher.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;

/// Hash set with a fast, unseeded hasher.
pub type Set<T> = HashSet<T, FxBuildHasher>;
