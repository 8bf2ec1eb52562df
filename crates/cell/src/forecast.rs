//! Room that is asked for in the seconds to come.

use cactuswheel_work::Room;

/// Length of a slot, in milliseconds. Moving an instance takes several of them.
pub const SLOT_MS: u64 = 250;

/// Number of slots: four seconds, twice the time in which an instance comes or pays for a move.
pub const SLOTS: usize = 16;

/// Room that is asked for in each slot from now on, if there is room for everything.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Forecast {
    slots: [Room; SLOTS],
}

impl Forecast {
    /// The same room in every slot.
    pub fn constant(room: Room) -> Self {
        Self {
            slots: [room; SLOTS],
        }
    }

    /// Room that is asked for in a slot; nothing beyond the last one.
    pub fn at(&self, slot: usize) -> Room {
        self.slots.get(slot).copied().unwrap_or_default()
    }

    /// Asks for `room` between two times, in milliseconds from now.
    pub fn add(&mut self, room: Room, from: u64, until: u64) {
        let slot = |at: u64| (at / SLOT_MS).min(SLOTS as u64) as usize;
        let covered = slot(from)..slot(until.saturating_add(SLOT_MS - 1));
        for slot in covered {
            let total = &mut self.slots[slot];
            let begin = slot as u64 * SLOT_MS;
            let shared = until.min(begin + SLOT_MS).saturating_sub(from.max(begin));
            *total += fraction(room, shared, SLOT_MS);
        }
    }

    /// Moves a mean of `count` profiles, this one included, towards `newest`.
    pub(crate) fn average(&mut self, newest: &Self, count: u64) {
        for (mean, newest) in self.slots.iter_mut().zip(&newest.slots) {
            *mean = fraction(*mean * (count - 1) + *newest, 1, count);
        }
    }
}

/// `share` parts of `whole` of a room.
fn fraction(room: Room, share: u64, whole: u64) -> Room {
    let fraction = |amount: u64| amount.saturating_mul(share) / whole;
    Room {
        cpu: fraction(room.cpu),
        memory: fraction(room.memory),
        gpu: fraction(room.gpu),
    }
}
