//! Fetches what jobs run from the nodes that have it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuswheel_model::Map;
use cactuswheel_relay::SpecDigest;

use crate::peer::PeerLink;
use crate::shared::Shared;

/// Time for another node to send what a job runs; the owner sends it by itself after that.
const FETCH_TIMEOUT: Duration = Duration::from_millis(450);

/// Fetches what jobs run from the nodes that have it.
pub(crate) struct SpecFetcher {
    shared: Arc<Shared>,
    /// Connections to other nodes.
    links: Mutex<Map<SocketAddr, PeerLink>>,
}

impl SpecFetcher {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            links: Mutex::default(),
        }
    }

    /// What a job runs, which the node at `origin` keeps; `None` if it does not come in time.
    pub(crate) async fn fetch(&self, digest: SpecDigest, origin: SocketAddr) -> Option<Arc<str>> {
        if let Some(spec) = self.shared.specs().get(&digest) {
            return Some(spec);
        }
        let spec = self.request(digest, origin).await;
        let Some(spec) = spec.filter(|s| SpecDigest::of(s) == digest) else {
            log::info!(digest:% = digest, front:% = origin; "what a job runs did not come");
            return None;
        };
        self.shared.specs().insert(&spec);
        Some(spec)
    }

    async fn request(&self, digest: SpecDigest, origin: SocketAddr) -> Option<Arc<str>> {
        let known = self.links().get(&origin).cloned();
        let link = match known {
            Some(link) => link,
            None => {
                let link = PeerLink::connect(origin).await?;
                self.links().insert(origin, link.clone());
                link
            }
        };
        let spec = link.spec(digest, FETCH_TIMEOUT).await;
        if spec.is_none() {
            // The connection may have gone silent.
            self.links().remove(&origin);
        }
        spec
    }

    fn links(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, PeerLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
