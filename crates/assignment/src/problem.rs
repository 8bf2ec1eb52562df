//! The planner's input.

use crate::{Machine, PoolCapacity, PoolSpec, Weights};

/// Instances, pools, and the weights and limits of planning.
#[derive(Debug, Clone, Default)]
pub struct Problem {
    /// Instances in a fixed order, which is used to break ties.
    pub machines: Vec<Machine>,
    /// Pools; [`Machine::pool`] is an index into this list.
    pub specs: Vec<PoolSpec>,
    /// Number of racks.
    pub racks: usize,
    /// Number of data centres.
    pub dcs: usize,
    /// Weights of the soft goals.
    pub weights: Weights,
    /// Maximum number of moves in one plan.
    pub max_moves: usize,
}

impl Problem {
    /// The current capacity of every pool, without lost machines.
    pub fn capacities(&self) -> Vec<PoolCapacity> {
        let mut capacities: Vec<_> = self
            .specs
            .iter()
            .map(|_| PoolCapacity::new(self.racks, self.dcs))
            .collect();
        for machine in self.machines.iter().filter(|m| !m.lost) {
            let slots = self.specs[machine.pool].usable_slots(machine);
            capacities[machine.pool].add(machine, slots);
        }
        capacities
    }
}
