//! Ordered maps that are cheap to clone.

use std::borrow::Borrow;
use std::sync::Arc;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

/// An ordered map whose clones share all rows that neither side has changed.
///
/// The order makes the bytes of a snapshot the same on every node.
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

    /// The row under `key`, for a change in place.
    pub(crate) fn get_mut(&mut self, key: &K) -> Option<&mut V>
    where
        V: Clone,
    {
        self.rows.get_mut(key).map(Arc::make_mut)
    }

    /// Removes the row under `key`; returns whether there was one.
    pub fn remove(&mut self, key: &K) -> bool {
        self.rows.remove(key).is_some()
    }

    /// Keys and rows, in order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &Arc<V>)> {
        self.rows.iter()
    }

    /// Rows, in order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &Arc<V>> {
        self.rows.values()
    }

    /// Whether both tables share the same storage; `false` for separate tables with equal rows.
    pub fn ptr_eq(&self, other: &Self) -> bool {
        self.rows.ptr_eq(&other.rows)
    }

    /// Number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no rows.
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
