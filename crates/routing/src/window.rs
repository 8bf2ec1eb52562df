//! How many of an upstream's slots this entry may count on.

use std::sync::atomic::{AtomicU32, Ordering};

/// An estimate that the upstream's own refusals shrink and its answers let grow.
///
/// All entries share an upstream's slots and none sees what the others have running there. The
/// entry's own part is always used; what goes beyond it is learned.
#[derive(Debug)]
pub(crate) struct Window {
    /// In parts of a slot, see [`Self::PARTS`].
    ///
    /// Invariant: from `least` to `most` slots.
    parts: AtomicU32,
    /// This entry's own part, in slots.
    least: u32,
    /// All that it may use, in slots.
    most: u32,
}

impl Window {
    /// Parts of a slot: that many answers let the estimate grow by one slot.
    const PARTS: u32 = 64;

    /// An estimate that begins with twice the entry's own part.
    ///
    /// Begun with all slots, every entry would have most of its first burst refused.
    pub(crate) fn new(least: u32, most: u32) -> Self {
        let least = least.min(most);
        let first = (2 * least).min(most);
        Self {
            parts: AtomicU32::new(first * Self::PARTS),
            least,
            most,
        }
    }

    /// The estimate in whole slots.
    pub(crate) fn get(&self) -> u32 {
        self.parts.load(Ordering::Relaxed) / Self::PARTS
    }

    /// Notes an answer.
    pub(crate) fn grow(&self) {
        let parts = self.parts.load(Ordering::Relaxed);
        if parts < self.most * Self::PARTS {
            // A lost update costs one part.
            self.parts.store(parts + 1, Ordering::Relaxed);
        }
    }

    /// Notes that the upstream was full while this entry had `running` requests there, the
    /// refused one included.
    pub(crate) fn shrink(&self, running: u32) {
        let slots = running.saturating_sub(1).clamp(self.least, self.most);
        let parts = slots * Self::PARTS;
        self.parts.fetch_min(parts, Ordering::Relaxed);
    }
}
