//! Instances as input to the planner.

use cactuswheel_model::InstanceId;

/// An instance, with its rack, data centre and pool given as indexes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// The ID of the instance.
    pub id: InstanceId,
    /// Index of the rack, unique over the whole fleet.
    pub rack: usize,
    /// Index of the data centre.
    pub dc: usize,
    /// Number of work slots that run concurrently.
    pub slots: u64,
    /// Number of processor cores.
    pub cores: u64,
    /// Memory, in MiB.
    pub memory: u64,
    /// Number of accelerators.
    pub accels: u64,
    /// Index of the pool that the machine is in, in [`Problem::specs`](crate::Problem::specs).
    pub pool: usize,
    /// Whether the instance is lost. A lost machine adds no capacity and is not moved.
    pub lost: bool,
    /// Whether the instance is in a planned outage or a move. A pinned machine adds capacity but
    /// is not moved.
    pub pinned: bool,
    /// Expected time to drain the instance, in seconds. A move waits for that long.
    pub drain_secs: u64,
}

impl Machine {
    /// Whether the machine is neither lost nor pinned. Its pool may still be unable to release it.
    pub fn is_movable(&self) -> bool {
        !self.lost && !self.pinned
    }
}
