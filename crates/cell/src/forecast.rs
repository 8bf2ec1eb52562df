//! Forecast of the room that tasks request in the next seconds.

use cactuswheel_work::Room;

/// Length of a slot, in milliseconds. Moving an instance takes several slots.
pub const SLOT_MS: u64 = 250;

/// Number of slots. They cover four seconds, which is twice the time that an instance takes to
/// arrive, or to do enough work to make its move worthwhile.
pub const SLOTS: usize = 16;

/// Room requested in each slot from now on, assuming that every task can start as soon as it is
/// ready.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Forecast {
    slots: [Room; SLOTS],
}

impl Forecast {
    /// A forecast with the same room in every slot.
    pub fn constant(room: Room) -> Self {
        Self {
            slots: [room; SLOTS],
        }
    }

    /// Room requested in a slot; zero beyond the last one.
    pub fn at(&self, slot: usize) -> Room {
        self.slots.get(slot).copied().unwrap_or_default()
    }

    /// Adds a request for `room` between two times, in milliseconds from now.
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

    /// Updates the mean of `count` profiles, `newest` included.
    pub(crate) fn average(&mut self, newest: &Self, count: u64) {
        for (mean, newest) in self.slots.iter_mut().zip(&newest.slots) {
            *mean = fraction(*mean * (count - 1) + *newest, 1, count);
        }
    }
}

/// Returns `share / whole` of a room.
pub(crate) fn fraction(room: Room, share: u64, whole: u64) -> Room {
    let fraction = |amount: u64| amount.saturating_mul(share) / whole;
    Room {
        cpu: fraction(room.cpu),
        memory: fraction(room.memory),
        gpu: fraction(room.gpu),
    }
}
