//! Hash collections with a fast hasher.
//!
//! The hasher is unseeded, so chosen keys can be made to collide. Keys that callers choose are
//! only looked up in these maps and never inserted, so a caller cannot cause such collisions.

use std::collections::{HashMap, HashSet};

use rustc_hash::FxBuildHasher;

/// Hash map with a fast, unseeded hasher.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;

/// Hash set with a fast, unseeded hasher.
pub type Set<T> = HashSet<T, FxBuildHasher>;
