//! Orders in flight at a relay.

use cactuswheel_work::{PaceOrder, TaskId};

/// An order that was sent to a relay and is not answered yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Pending {
    /// The poll with this number.
    Poll(u64),
    /// The start order for this run of a task.
    Start(TaskId, u32),
    /// A throttle order.
    Pace(PaceOrder),
}

impl Pending {
    /// Whether an answer to `other` also settles this order. A poll replaces every older poll of
    /// the same worker, so the answer to a newer one settles the older ones.
    pub(crate) fn is_settled_by(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Poll(own), Self::Poll(answered)) => own <= answered,
            (own, answered) => own == answered,
        }
    }
}
