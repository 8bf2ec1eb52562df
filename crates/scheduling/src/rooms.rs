//! Free room of one pool, ordered for best fit.

use std::collections::BTreeSet;

use cactuswheel_model::{Cores, InstanceId, Room};

use crate::Slot;

/// Workers looked at for one job beyond the first that has the cores.
const LOOKS: usize = 64;

/// Workers by free cores.
#[derive(Debug, Default)]
pub(crate) struct Rooms {
    slots: Vec<Slot>,
    /// Free cores and index into `slots`.
    ///
    /// Invariant: holds exactly the slots that still take work.
    order: BTreeSet<(Cores, usize)>,
    /// The largest worker's size in each kind of resource.
    largest: Room,
    /// Rooms that were not found; free room only shrinks, so nothing as large is either.
    ///
    /// Failure: without it a long queue of large jobs is looked up one by one each round, and
    /// a bound on those looks lets them hide the small jobs behind them for good.
    missed: Vec<Room>,
}

impl Rooms {
    /// Adds a worker.
    pub(crate) fn push(&mut self, slot: Slot) {
        self.order.insert((slot.free.cores, self.slots.len()));
        self.largest.cores = self.largest.cores.max(slot.whole.cores);
        self.largest.memory = self.largest.memory.max(slot.whole.memory);
        self.slots.push(slot);
    }

    /// The largest worker's cores and memory.
    pub(crate) fn largest(&self) -> Room {
        self.largest
    }

    /// Whether any worker is large enough when empty.
    pub(crate) fn holds(&self, room: Room) -> bool {
        self.slots.iter().any(|s| room.fits(s.whole))
    }

    /// Takes room on the worker with the fewest cores to spare, none of `avoid`.
    ///
    /// A job with accelerators and a job with much memory may have to look further than the
    /// workers that fit by cores; the look is bounded, the rest is looked at next round.
    pub(crate) fn take(&mut self, room: Room, avoid: &[InstanceId]) -> Option<&Slot> {
        if self.missed.iter().any(|missed| missed.fits(room)) {
            return None;
        }
        let from = (room.cores, 0);
        let fits = |i: usize| {
            let slot = &self.slots[i];
            room.fits(slot.free) && !avoid.contains(&slot.life.id)
        };
        let tight = self.order.range(from..).take(LOOKS).find(|(_, i)| fits(*i));
        let roomy = || {
            self.order
                .range(from..)
                .rev()
                .take(LOOKS)
                .find(|(_, i)| fits(*i))
        };
        let Some(&(cores, i)) = tight.or_else(roomy) else {
            if avoid.is_empty() {
                self.missed.push(room);
            }
            return None;
        };
        self.order.remove(&(cores, i));
        let slot = &mut self.slots[i];
        slot.free = slot.free - room;
        if !slot.probe {
            self.order.insert((slot.free.cores, i));
        }
        Some(&self.slots[i])
    }
}
