//! A slot of an upstream, held while a request runs on it.

use std::sync::Arc;

use crate::Upstream;

/// Holds one slot; dropping it gives the slot back.
#[derive(Debug)]
pub struct Lease {
    upstream: Arc<Upstream>,
}

impl Lease {
    /// Takes a slot of `upstream` if one is free.
    pub fn take(upstream: &Arc<Upstream>) -> Option<Self> {
        upstream.take().then(|| Self {
            upstream: upstream.clone(),
        })
    }

    /// The upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.upstream.give();
    }
}
