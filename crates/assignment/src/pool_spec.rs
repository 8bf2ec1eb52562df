//! Requirements of pools.

use cactuswheel_model::PoolId;

use crate::Machine;

/// A pool and the combined requirements of its services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolSpec {
    /// The ID of the pool; `None` only in the default value.
    pub id: Option<PoolId>,
    /// Peak demand of all services of the pool, in slots; 0 for a spare pool.
    pub demand: u64,
    /// Maximum number of members that may be unavailable at once; `None` if no service uses the
    /// pool.
    pub max_down: Option<usize>,
    /// Whether this is a spare pool: its members may be moved to other pools, and surplus members
    /// of other pools are moved to it.
    pub spare: bool,
    /// Whether the demand must also fit after the loss of any one data centre.
    pub any_dc: bool,
    /// Minimum number of cores of a usable member.
    pub cores: u64,
    /// Minimum memory of a usable member, in MiB.
    pub memory: u64,
    /// Minimum number of accelerators of a usable member.
    pub accels: u64,
}

impl PoolSpec {
    /// Number of slots that a machine adds to the pool; 0 if it is below one of the minimums.
    pub fn usable_slots(&self, machine: &Machine) -> u64 {
        let fits = machine.cores >= self.cores
            && machine.memory >= self.memory
            && machine.accels >= self.accels;
        if fits { machine.slots } else { 0 }
    }
}
