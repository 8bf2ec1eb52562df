//! What a pool has.

use std::collections::BTreeMap;

use crate::{Machine, Need};

/// A pool's capacity by failure domain.
#[derive(Debug, Clone)]
pub struct Load {
    /// Members that are not held.
    pub members: usize,
    /// Worth of all members, in slots.
    pub total: u64,
    /// Worth by rack.
    racks: Vec<u64>,
    /// Number of racks by their worth, empty racks left out.
    ///
    /// Invariant: agrees with `racks`; its last key is the largest rack.
    sizes: BTreeMap<u64, usize>,
    /// Worth by data centre.
    dcs: Vec<u64>,
}

impl Load {
    /// An empty pool.
    pub fn new(racks: usize, dcs: usize) -> Self {
        Self {
            members: 0,
            total: 0,
            racks: vec![0; racks],
            sizes: BTreeMap::new(),
            dcs: vec![0; dcs],
        }
    }

    /// Adds a member worth so much.
    pub fn add(&mut self, machine: &Machine, worth: u64) {
        self.members += 1;
        self.total += worth;
        self.dcs[machine.dc] += worth;
        self.resize(machine.rack, self.racks[machine.rack] + worth);
    }

    /// Removes a member worth so much.
    pub fn remove(&mut self, machine: &Machine, worth: u64) {
        self.members -= 1;
        self.total -= worth;
        self.dcs[machine.dc] -= worth;
        self.resize(machine.rack, self.racks[machine.rack] - worth);
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
        self.sizes.keys().next_back().copied().unwrap_or(0)
    }

    /// Capacity that is left after the worst loss that the pool has to stand.
    pub fn safe(&self, need: &Need) -> u64 {
        let mut worst = self.largest();
        if need.any_dc {
            worst = worst.max(self.dcs.iter().copied().max().unwrap_or(0));
        }
        self.total - worst
    }

    /// [`safe`](Self::safe) with a machine more.
    pub fn safe_with(&self, machine: &Machine, worth: u64, need: &Need) -> u64 {
        let mut worst = self.largest().max(self.racks[machine.rack] + worth);
        if need.any_dc {
            let dcs = self.dcs.iter().copied().max().unwrap_or(0);
            worst = worst.max(dcs).max(self.dcs[machine.dc] + worth);
        }
        self.total + worth - worst
    }

    /// Demand that does not fit after the worst loss, in slots.
    pub fn deficit(&self, need: &Need) -> u64 {
        need.demand.saturating_sub(self.safe(need))
    }

    /// Whether a member may leave for good without breaking a hard rule, or breaking it more.
    ///
    /// A budget of none lets nothing go: a move begins with an outage.
    pub fn can_lose(&mut self, machine: &Machine, need: &Need) -> bool {
        let Some(down) = need.max_down else {
            return true;
        };
        if down == 0 || self.members <= down + 1 {
            return false;
        }
        let worth = need.worth(machine);
        self.remove(machine, worth);
        let fits = self.deficit(need) == 0;
        self.add(machine, worth);
        fits || worth == 0
    }

    /// Members beyond one, counted by rack in slots: what one rack's loss takes at once.
    pub fn crowding(&self) -> u64 {
        let racks = self.sizes.values().sum::<usize>() as u64;
        match racks {
            0 => 0,
            _ => self.largest() - self.total.div_ceil(racks).min(self.largest()),
        }
    }

    fn resize(&mut self, rack: usize, worth: u64) {
        let before = std::mem::replace(&mut self.racks[rack], worth);
        if before > 0
            && let Some(count) = self.sizes.get_mut(&before)
        {
            *count -= 1;
            if *count == 0 {
                self.sizes.remove(&before);
            }
        }
        if worth > 0 {
            *self.sizes.entry(worth).or_default() += 1;
        }
    }
}
