//! Fetches job specs from other nodes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuswheel_model::Map;
use cactuswheel_relay::SpecDigest;

use crate::peer::PeerLink;
use crate::shared::Shared;

/// Timeout for fetching a job spec. After it, the order is rejected and the owner sends the spec
/// itself.
const FETCH_TIMEOUT: Duration = Duration::from_millis(450);

/// Fetches job specs from other nodes.
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

    /// Fetches a job spec from the node at `origin`; `None` if it does not arrive in time.
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
            // The connection may be broken; the next request opens a new one.
            self.links().remove(&origin);
        }
        spec
    }

    fn links(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, PeerLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
