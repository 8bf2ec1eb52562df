//! The part of one team's limit that one life holds.

use cactuswheel_model::{Offset, Usage};
use serde::{Deserialize, Serialize};

/// Units of a team held by a life; each allows one running request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllotmentRow {
    /// The life starts a request only while it has fewer units than this in use.
    pub cap: u32,
    /// Units that may be in use at the life.
    ///
    /// Invariant: at least `cap`, and at least the number of requests that run there, even while
    /// the life has not yet read the latest `cap`.
    pub occupied: u32,
    /// Units that the demand at the life could use, as last reported.
    pub want: u32,
    /// Offset of the record that last changed `cap`.
    pub epoch: Offset,
    /// Whether the life may hold units at all; `false` once it was revoked.
    pub open: bool,
}

impl AllotmentRow {
    /// Applies a usage report; returns whether it changed anything.
    ///
    /// A report written before `cap` was raised may arrive after the raise. Counting it would free
    /// units that the life has begun to use, and the team would exceed its limit. A report
    /// therefore counts only if its epoch is that of the current `cap`: since the life read this
    /// value, it has started nothing above `cap`, so the number in use above `cap` can only have
    /// fallen.
    pub(crate) fn report(&mut self, usage: &Usage) -> bool {
        let before = *self;
        self.want = usage.want;
        if usage.epoch == self.epoch {
            self.occupied = self.cap.max(self.occupied.min(usage.used));
        }
        *self != before
    }

    pub(crate) fn set_cap(&mut self, cap: u32, at: Offset) {
        if self.cap == cap {
            return;
        }
        self.cap = cap;
        self.occupied = self.occupied.max(cap);
        self.epoch = at;
    }
}
