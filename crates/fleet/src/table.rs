//! Ordered tables that are cheap to copy.

use std::borrow::Borrow;
use std::sync::Arc;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

/// An ordered map whose copies share all but what one of them changes.
///
/// The order makes a snapshot's bytes the same on every node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Table<K: Ord + Clone, V> {
    rows: OrdMap<K, Arc<V>>,
}

impl<K: Ord + Clone, V> Table<K, V> {
    /// The row under `key`.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&Arc<V>>
    where
        K: Borrow<Q>,
    {
        self.rows.get(key)
    }

    /// Whether there is a row under `key`.
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.rows.contains_key(key)
    }

    /// Sets the row under `key`.
    pub fn insert(&mut self, key: K, value: V) {
        self.rows.insert(key, Arc::new(value));
    }

    /// The row under `key`, to be changed in place.
    pub(crate) fn get_mut(&mut self, key: &K) -> Option<&mut V>
    where
        V: Clone,
    {
        self.rows.get_mut(key).map(Arc::make_mut)
    }

    /// Removes the row under `key`; whether there was one.
    pub fn remove(&mut self, key: &K) -> bool {
        self.rows.remove(key).is_some()
    }

    /// Keys and rows in order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &Arc<V>)> {
        self.rows.iter()
    }

    /// The rows in order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &Arc<V>> {
        self.rows.values()
    }

    /// Whether both share their content; content that is merely equal does not count.
    pub fn ptr_eq(&self, other: &Self) -> bool {
        self.rows.ptr_eq(&other.rows)
    }

    /// Number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl<K: Ord + Clone, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            rows: OrdMap::new(),
        }
    }
}
