//! What pools spec.

use cactuswheel_model::PoolId;

use crate::Machine;

/// A pool and what its services ask for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolSpec {
    /// The pool; `None` only in a default value.
    pub id: Option<PoolId>,
    /// Slots of work at peak, over all its services; 0 for a spare pool.
    pub demand: u64,
    /// Most members that may be unavailable at once; `None` if no service specs the pool.
    pub max_down: Option<usize>,
    /// Whether its members may be given to other pools, and surplus goes there.
    pub spare: bool,
    /// Whether its demand has to fit after the loss of a data centre too.
    pub any_dc: bool,
    /// Least cores of a member that is of use.
    pub cores: u64,
    /// Least memory of a member that is of use, in MiB.
    pub memory: u64,
    /// Least accelerators of a member that is of use.
    pub accels: u64,
}

impl PoolSpec {
    /// What a machine is worth to the pool, in slots; 0 if it lacks something.
    pub fn usable_slots(&self, machine: &Machine) -> u64 {
        let fits = machine.cores >= self.cores
            && machine.memory >= self.memory
            && machine.accels >= self.accels;
        if fits { machine.slots } else { 0 }
    }
}
