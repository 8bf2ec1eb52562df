//! What a pool has.

use std::collections::BTreeMap;

use crate::{Machine, PoolSpec};

/// A pool's capacity by failure domain.
#[derive(Debug, Clone)]
pub struct PoolCapacity {
    /// Members that are not held.
    pub members: usize,
    /// Worth of all members, in slots.
    pub total: u64,
    /// Worth by rack.
    racks: Vec<u64>,
    /// Number of racks by their slots, empty racks left out.
    ///
    /// Invariant: agrees with `racks`; its last key is the largest rack.
    rack_counts: BTreeMap<u64, usize>,
    /// Worth by data centre.
    dcs: Vec<u64>,
}

impl PoolCapacity {
    /// An empty pool.
    pub fn new(racks: usize, dcs: usize) -> Self {
        Self {
            members: 0,
            total: 0,
            racks: vec![0; racks],
            rack_counts: BTreeMap::new(),
            dcs: vec![0; dcs],
        }
    }

    /// Adds a member worth so much.
    pub fn add(&mut self, machine: &Machine, slots: u64) {
        self.members += 1;
        self.total += slots;
        self.dcs[machine.dc] += slots;
        self.set_rack_slots(machine.rack, self.racks[machine.rack] + slots);
    }

    /// Removes a member worth so much.
    pub fn remove(&mut self, machine: &Machine, slots: u64) {
        self.members -= 1;
        self.total -= slots;
        self.dcs[machine.dc] -= slots;
        self.set_rack_slots(machine.rack, self.racks[machine.rack] - slots);
    }

    /// Worth in a rack.
    pub fn rack(&self, rack: usize) -> u64 {
        self.racks[rack]
    }

    /// Worth in a data centre.
    pub fn dc(&self, dc: usize) -> u64 {
        self.dcs[dc]
    }

    /// Worth of the largest rack.
    pub fn largest(&self) -> u64 {
        self.rack_counts.keys().next_back().copied().unwrap_or(0)
    }

    /// Capacity that is left after the worst loss that the pool has to stand.
    pub fn surviving(&self, spec: &PoolSpec) -> u64 {
        let mut worst = self.largest();
        if spec.any_dc {
            worst = worst.max(self.dcs.iter().copied().max().unwrap_or(0));
        }
        self.total - worst
    }

    /// [`safe`](Self::safe) with a machine more.
    pub fn surviving_with(&self, machine: &Machine, slots: u64, spec: &PoolSpec) -> u64 {
        let mut worst = self.largest().max(self.racks[machine.rack] + slots);
        if spec.any_dc {
            let dcs = self.dcs.iter().copied().max().unwrap_or(0);
            worst = worst.max(dcs).max(self.dcs[machine.dc] + slots);
        }
        self.total + slots - worst
    }

    /// Demand that does not fit after the worst loss, in slots.
    pub fn deficit(&self, spec: &PoolSpec) -> u64 {
        spec.demand.saturating_sub(self.surviving(spec))
    }

    /// Whether a member may leave for good without breaking a hard rule, or breaking it more.
    ///
    /// A budget of none lets nothing go: a move begins with an outage.
    pub fn can_remove(&mut self, machine: &Machine, spec: &PoolSpec) -> bool {
        let Some(down) = spec.max_down else {
            return true;
        };
        if down == 0 || self.members <= down + 1 {
            return false;
        }
        let slots = spec.usable_slots(machine);
        self.remove(machine, slots);
        let fits = self.deficit(spec) == 0;
        self.add(machine, slots);
        fits || slots == 0
    }

    /// Members beyond one, counted by rack in slots: what one rack's loss takes at once.
    pub fn crowding(&self) -> u64 {
        let racks = self.rack_counts.values().sum::<usize>() as u64;
        match racks {
            0 => 0,
            _ => self.largest() - self.total.div_ceil(racks).min(self.largest()),
        }
    }

    fn set_rack_slots(&mut self, rack: usize, slots: u64) {
        let before = std::mem::replace(&mut self.racks[rack], slots);
        if before > 0
            && let Some(count) = self.rack_counts.get_mut(&before)
        {
            *count -= 1;
            if *count == 0 {
                self.rack_counts.remove(&before);
            }
        }
        if slots > 0 {
            *self.rack_counts.entry(slots).or_default() += 1;
        }
    }
}
