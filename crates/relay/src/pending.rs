//! Orders that were handed to a relay and have no answer yet.

use cactuswheel_work::{PaceOrder, TaskId};

/// An order that was handed to a relay and has no answer yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pending {
    /// A look, by its number.
    Poll(u64),
    /// A start of this run of a task.
    Start(TaskId, u32),
    /// A throttle order.
    Pace(PaceOrder),
}

impl Pending {
    /// Whether an answer to `other` settles this one: a newer look is in place of an older one.
    pub(crate) fn is_settled_by(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Poll(mine), Self::Poll(theirs)) => mine <= theirs,
            (mine, theirs) => mine == theirs,
        }
    }
}
