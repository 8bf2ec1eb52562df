//! How many of an upstream's slots this entry may count on.

use std::sync::atomic::{AtomicU32, Ordering};

/// An estimate that the upstream's own refusals shrink and its answers let grow.
///
/// All entries share an upstream's slots and none sees what the others have running there. The
/// entry's own part is always used; what goes beyond it is learned.
#[derive(Debug)]
pub(crate) struct Window {
    /// In parts of a slot, see [`Self::STEPS_PER_SLOT`].
    ///
    /// Invariant: from `min_slots` to `max_slots` slots.
    steps: AtomicU32,
    /// This entry's own part, in slots.
    min_slots: u32,
    /// All that it may use, in slots.
    max_slots: u32,
}

impl Window {
    /// Parts of a slot: that many answers let the estimate grow by one slot.
    const STEPS_PER_SLOT: u32 = 64;

    /// An estimate that begins with twice the entry's own part.
    ///
    /// Begun with all slots, every entry would have most of its first burst refused.
    pub(crate) fn new(min_slots: u32, max_slots: u32) -> Self {
        let min_slots = min_slots.min(max_slots);
        let first = (2 * min_slots).min(max_slots);
        Self {
            steps: AtomicU32::new(first * Self::STEPS_PER_SLOT),
            min_slots,
            max_slots,
        }
    }

    /// The estimate in whole slots.
    pub(crate) fn get(&self) -> u32 {
        self.steps.load(Ordering::Relaxed) / Self::STEPS_PER_SLOT
    }

    /// Notes an answer.
    pub(crate) fn grow(&self) {
        let steps = self.steps.load(Ordering::Relaxed);
        if steps < self.max_slots * Self::STEPS_PER_SLOT {
            // A lost update costs one part.
            self.steps.store(steps + 1, Ordering::Relaxed);
        }
    }

    /// Notes that the upstream was full while this entry had `running` requests there, the
    /// refused one included.
    pub(crate) fn shrink(&self, running: u32) {
        let slots = running
            .saturating_sub(1)
            .clamp(self.min_slots, self.max_slots);
        let steps = slots * Self::STEPS_PER_SLOT;
        self.steps.fetch_min(steps, Ordering::Relaxed);
    }
}
