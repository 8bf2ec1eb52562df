//! One life's part of one team's limit.

use cactuswheel_model::{Offset, Usage};
use serde::{Deserialize, Serialize};

/// Units of a team at one life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllotmentRow {
    /// It starts work only while fewer units than this are in use there.
    pub cap: u32,
    /// Units that may be in use there.
    ///
    /// Invariant: at least `cap`, and at least what runs there, whatever was read late.
    pub occupied: u32,
    /// Units that its demand could use, as last reported.
    pub want: u32,
    /// Where `cap` was last changed.
    pub epoch: Offset,
    /// Whether it may hold units at all.
    pub open: bool,
}

impl AllotmentRow {
    /// Takes a report; whether it is news.
    ///
    /// Failure: a report written before a raise arrives after it and frees units that the life
    /// has begun to use; the team then runs over its limit. A report counts only for the very
    /// allotment that the life obeyed: since then it started nothing above `cap`, so what ran
    /// above it can only have become less.
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
