//! What jobs run, for as long as there is room for it.

use std::collections::VecDeque;
use std::sync::Arc;

use cactuswheel_model::Map;

use crate::SpecDigest;

/// What jobs run, by content, the newest of it.
///
/// A front keeps what it has accepted and a relay what it has sent, so that an owner on a narrow
/// link can name it instead of sending it with each job.
///
/// Invariant: all texts together take at most `most` bytes.
#[derive(Debug)]
pub struct SpecCache {
    most: usize,
    bytes: usize,
    texts: Map<SpecDigest, Arc<str>>,
    /// Oldest first.
    order: VecDeque<SpecDigest>,
}

impl SpecCache {
    /// An empty cache for `most` bytes.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            bytes: 0,
            texts: Map::default(),
            order: VecDeque::new(),
        }
    }

    /// Keeps a text, and evicts the oldest ones that leave no room for it.
    pub fn insert(&mut self, spec: &Arc<str>) {
        let digest = SpecDigest::of(spec);
        if spec.len() > self.most || self.texts.contains_key(&digest) {
            return;
        }
        self.bytes += spec.len();
        self.texts.insert(digest, spec.clone());
        self.order.push_back(digest);
        while self.bytes > self.most
            && let Some(oldest) = self.order.pop_front()
        {
            let evicted = self.texts.remove(&oldest);
            self.bytes -= evicted.map_or(0, |text| text.len());
        }
    }

    /// The text of a digest, if it is still there.
    pub fn get(&self, digest: &SpecDigest) -> Option<Arc<str>> {
        self.texts.get(digest).cloned()
    }
}
