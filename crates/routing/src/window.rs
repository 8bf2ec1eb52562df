//! An adaptive limit on the slots of an upstream that this entry uses.

use std::sync::atomic::{AtomicU32, Ordering};

/// The number of slots that this entry may use; it grows with each response and shrinks when the
/// upstream declines a request because it is full.
///
/// All entries share an upstream's slots, and no entry sees the requests of the others there. An
/// entry may always use its own share of the slots; beyond that, the window adapts.
#[derive(Debug)]
pub(crate) struct Window {
    /// Size of the window, in units of 1/[`Self::STEPS_PER_SLOT`] slot.
    ///
    /// Invariant: from `min_slots` to `max_slots` slots.
    steps: AtomicU32,
    /// This entry's own share, in slots.
    min_slots: u32,
    /// Maximum number of slots that this entry may use.
    max_slots: u32,
}

impl Window {
    /// Number of responses that grow the window by one slot.
    const STEPS_PER_SLOT: u32 = 64;

    /// Creates a window that starts with twice the entry's own share.
    ///
    /// If all windows started with all slots, the upstream would decline most of the first burst of
    /// every entry.
    pub(crate) fn new(min_slots: u32, max_slots: u32) -> Self {
        let min_slots = min_slots.min(max_slots);
        let first = (2 * min_slots).min(max_slots);
        Self {
            steps: AtomicU32::new(first * Self::STEPS_PER_SLOT),
            min_slots,
            max_slots,
        }
    }

    /// Size of the window in whole slots.
    pub(crate) fn get(&self) -> u32 {
        self.steps.load(Ordering::Relaxed) / Self::STEPS_PER_SLOT
    }

    /// Grows the window after a response.
    pub(crate) fn grow(&self) {
        let steps = self.steps.load(Ordering::Relaxed);
        if steps < self.max_slots * Self::STEPS_PER_SLOT {
            // An update lost in a race costs one step.
            self.steps.store(steps + 1, Ordering::Relaxed);
        }
    }

    /// Shrinks the window after the upstream declined a request while this entry had `running`
    /// requests there, the declined one included.
    pub(crate) fn shrink(&self, running: u32) {
        let slots = running
            .saturating_sub(1)
            .clamp(self.min_slots, self.max_slots);
        let steps = slots * Self::STEPS_PER_SLOT;
        self.steps.fetch_min(steps, Ordering::Relaxed);
    }
}
