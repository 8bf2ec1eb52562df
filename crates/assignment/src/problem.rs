//! What there is to be planned.

use crate::{Machine, PoolCapacity, PoolSpec, Weights};

/// Instances, pools and what counts how much.
#[derive(Debug, Clone, Default)]
pub struct Problem {
    /// Instances in a fixed order, which settles ties.
    pub machines: Vec<Machine>,
    /// Pools; [`Machine::pool`] is an index here.
    pub specs: Vec<PoolSpec>,
    /// Number of racks.
    pub racks: usize,
    /// Number of data centres.
    pub dcs: usize,
    /// What counts how much.
    pub weights: Weights,
    /// Most moves in one plan.
    pub max_moves: usize,
}

impl Problem {
    /// The capacity of every pool as it stands.
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
