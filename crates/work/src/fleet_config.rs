//! The operators' configuration.

use cactuswheel_model::Map;

use crate::{Queue, QueueName, Service, ServiceName, Team, TeamName};

/// Bounds on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Largest body of a request, in bytes.
    pub body: usize,
}

/// One version of the configuration, whole.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Queues by name.
    pub queues: Map<QueueName, Queue>,
    /// Services by name.
    pub services: Map<ServiceName, Service>,
    /// Teams by name.
    pub teams: Map<TeamName, Team>,
    /// Team of each key.
    pub keys: Map<String, TeamName>,
    /// Bounds on requests.
    pub limits: RequestLimits,
}

impl FleetConfig {
    /// The queue that a request names: the longest prefix of its path on its host.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| q.host == host && path.starts_with(&q.prefix);
        let found = self.queues.values().filter(fits);
        found.max_by_key(|q| q.prefix.len())
    }
}
