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
    /// Whether an outage or a move holds it: it counts for nothing and is not moved.
    pub held: bool,
    /// Expected time until its work has ended, in seconds; a move waits that long.
    pub drain: u64,
}
