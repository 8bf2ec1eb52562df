//! Instances as the planner sees them.

use cactuswheel_model::InstanceId;

/// An instance with dense numbers for its places.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// The instance.
    pub id: InstanceId,
    /// Its rack, numbered over the whole fleet.
    pub rack: usize,
    /// Its data centre.
    pub dc: usize,
    /// Slots of work that it runs at once.
    pub slots: u64,
    /// Processor cores.
    pub cores: u64,
    /// Memory, in MiB.
    pub memory: u64,
    /// Accelerators.
    pub accels: u64,
    /// The pool that it is in.
    pub pool: usize,
    /// Whether it is lost: it counts for nothing and is not moved.
    pub lost: bool,
    /// Whether a planned outage or a move holds it: it counts, and is not moved.
    pub pinned: bool,
    /// Expected time until its work has ended, in seconds; a move waits that long.
    pub drain_secs: u64,
}

impl Machine {
    /// Whether it may be moved, as far as it is known.
    pub fn is_movable(&self) -> bool {
        !self.lost && !self.pinned
    }
}
