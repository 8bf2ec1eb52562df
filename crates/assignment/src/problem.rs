//! What there is to be planned.

use crate::{Load, Machine, Need, Weights};

/// Instances, pools and what counts how much.
#[derive(Debug, Clone, Default)]
pub struct Problem {
    /// Instances in a fixed order, which settles ties.
    pub machines: Vec<Machine>,
    /// Pools; [`Machine::pool`] is an index here.
    pub needs: Vec<Need>,
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
    /// The load of every pool as it stands.
    pub fn loads(&self) -> Vec<Load> {
        let mut loads: Vec<_> = self
            .needs
            .iter()
            .map(|_| Load::new(self.racks, self.dcs))
            .collect();
        for machine in self.machines.iter().filter(|m| !m.lost) {
            let worth = self.needs[machine.pool].worth(machine);
            loads[machine.pool].add(machine, worth);
        }
        loads
    }
}
