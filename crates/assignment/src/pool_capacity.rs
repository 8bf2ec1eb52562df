//! Capacity of a pool by failure domain.

use std::collections::BTreeMap;

use crate::{Machine, PoolSpec};

/// The capacity of a pool, in total and by rack and data centre.
#[derive(Debug, Clone)]
pub struct PoolCapacity {
    /// Number of members that are not lost.
    pub members: usize,
    /// Usable slots of all members.
    pub total: u64,
    /// Usable slots by rack.
    racks: Vec<u64>,
    /// Number of racks by their usable slots, without empty racks.
    ///
    /// Invariant: consistent with `racks`; the last key is the size of the largest rack.
    rack_counts: BTreeMap<u64, usize>,
    /// Usable slots by data centre.
    dcs: Vec<u64>,
}

impl PoolCapacity {
    /// Creates an empty pool in a fleet with the given numbers of racks and data centres.
    pub fn new(racks: usize, dcs: usize) -> Self {
        Self {
            members: 0,
            total: 0,
            racks: vec![0; racks],
            rack_counts: BTreeMap::new(),
            dcs: vec![0; dcs],
        }
    }

    /// Adds a member with the given number of usable slots.
    pub fn add(&mut self, machine: &Machine, slots: u64) {
        self.members += 1;
        self.total += slots;
        self.dcs[machine.dc] += slots;
        self.set_rack_slots(machine.rack, self.racks[machine.rack] + slots);
    }

    /// Removes a member with the given number of usable slots.
    pub fn remove(&mut self, machine: &Machine, slots: u64) {
        self.members -= 1;
        self.total -= slots;
        self.dcs[machine.dc] -= slots;
        self.set_rack_slots(machine.rack, self.racks[machine.rack] - slots);
    }

    /// Usable slots in a rack.
    pub fn rack(&self, rack: usize) -> u64 {
        self.racks[rack]
    }

    /// Usable slots in a data centre.
    pub fn dc(&self, dc: usize) -> u64 {
        self.dcs[dc]
    }

    /// Usable slots in the largest rack.
    pub fn largest(&self) -> u64 {
        self.rack_counts.keys().next_back().copied().unwrap_or(0)
    }

    /// Capacity that remains after the worst failure that the pool must tolerate, in slots: the
    /// loss of its largest rack or, if requested, of its largest data centre.
    pub fn surviving(&self, spec: &PoolSpec) -> u64 {
        let mut worst = self.largest();
        if spec.any_dc {
            worst = worst.max(self.dcs.iter().copied().max().unwrap_or(0));
        }
        self.total - worst
    }

    /// Like [`surviving`](Self::surviving), with one more machine in the pool.
    pub fn surviving_with(&self, machine: &Machine, slots: u64, spec: &PoolSpec) -> u64 {
        let mut worst = self.largest().max(self.racks[machine.rack] + slots);
        if spec.any_dc {
            let dcs = self.dcs.iter().copied().max().unwrap_or(0);
            worst = worst.max(dcs).max(self.dcs[machine.dc] + slots);
        }
        self.total + slots - worst
    }

    /// Demand that does not fit after the worst failure, in slots.
    pub fn deficit(&self, spec: &PoolSpec) -> u64 {
        spec.demand.saturating_sub(self.surviving(spec))
    }

    /// Whether a member can leave permanently without violating a hard constraint or worsening a
    /// violation.
    ///
    /// With a disruption budget of 0, no member can leave, because a move begins with an outage.
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

    /// Slots by which the largest rack is above the mean of the non-empty racks. The mean is
    /// rounded up.
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
