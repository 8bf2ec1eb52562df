//! Room that becomes free by itself as runs end.

use cactuswheel_work::Room;

/// Room of a pool that becomes free by itself, by the end of each slot from now on.
#[derive(Debug, Clone, Default)]
pub struct Returns {
    /// Length of a slot, in milliseconds.
    pub slot_ms: u64,
    /// Room that is free again in each slot; what is free now is not included.
    pub slots: Vec<Room>,
}

impl Returns {
    /// Room that has returned `wait_ms` from now. Beyond the last slot, the room of the last one.
    pub fn by(&self, wait_ms: u64) -> Room {
        let slot = wait_ms.checked_div(self.slot_ms).unwrap_or_default() as usize;
        let last = self.slots.len().checked_sub(1);
        last.map_or_else(Room::default, |last| self.slots[slot.min(last)])
    }
}
