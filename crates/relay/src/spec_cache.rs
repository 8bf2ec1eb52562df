//! Cache of job specs.

use std::collections::VecDeque;
use std::sync::Arc;

use cactuswheel_model::Map;

use crate::SpecDigest;

/// The most recently added job specs, by digest.
///
/// A node's front end caches the specs that it accepts, and a relay those that it receives,
/// so that an owner on a slow link can refer to a spec by its digest instead of sending it.
///
/// Invariant: the specs together take at most `max_bytes` bytes.
#[derive(Debug)]
pub struct SpecCache {
    max_bytes: usize,
    bytes: usize,
    specs: Map<SpecDigest, Arc<str>>,
    /// Digests of the cached specs, oldest first.
    order: VecDeque<SpecDigest>,
}

impl SpecCache {
    /// An empty cache of up to `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            specs: Map::default(),
            order: VecDeque::new(),
        }
    }

    /// Adds a spec and evicts the oldest specs until the rest fits. Does nothing if the spec is
    /// cached already or exceeds the size of the cache.
    pub fn insert(&mut self, spec: &Arc<str>) {
        let digest = SpecDigest::of(spec);
        if spec.len() > self.max_bytes || self.specs.contains_key(&digest) {
            return;
        }
        self.bytes += spec.len();
        self.specs.insert(digest, spec.clone());
        self.order.push_back(digest);
        while self.bytes > self.max_bytes
            && let Some(oldest) = self.order.pop_front()
        {
            let evicted = self.specs.remove(&oldest);
            self.bytes -= evicted.map_or(0, |s| s.len());
        }
    }

    /// The spec with this digest, if it is cached.
    pub fn get(&self, digest: &SpecDigest) -> Option<Arc<str>> {
        self.specs.get(digest).cloned()
    }
}
