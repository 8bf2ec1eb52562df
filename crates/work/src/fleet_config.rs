//! Configuration of the fleet by the operators.

use cactuswheel_model::Map;

use crate::{Queue, QueueName, Service, ServiceName, Team, TeamName};

/// Size limits of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request's head, in bytes.
    pub head: usize,
    /// Maximum size of a request's body, in bytes.
    pub body: usize,
}

/// A complete version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// Version number; increases with each change, but not always by one.
    pub version: u64,
    /// Queues by name.
    pub queues: Map<QueueName, Queue>,
    /// Services by name.
    pub services: Map<ServiceName, Service>,
    /// Teams by name.
    pub teams: Map<TeamName, Team>,
    /// The team that each key belongs to.
    pub keys: Map<String, TeamName>,
    /// Size limits of requests.
    pub limits: RequestLimits,
}

impl FleetConfig {
    /// The queue that a request addresses: among the queues of its host whose prefix matches the
    /// path, the one with the longest prefix.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| q.host == host && path.starts_with(&q.prefix);
        let found = self.queues.values().filter(fits);
        found.max_by_key(|q| q.prefix.len())
    }
}
