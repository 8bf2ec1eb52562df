//! What a planner asks for.

use cactuswheel_work::{InstanceName, InstanceOrder, WorkerId};

/// What a planner asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Give an instance an order. Answer: [`crate::Planner::ordered`].
    Order {
        /// The order.
        order: InstanceOrder,
        /// The worker on it, which the order ends.
        worker: Option<WorkerId>,
    },
    /// Give a worker no more work; with `evacuate` lasting work leaves it, within its budget.
    Close {
        /// The worker.
        worker: WorkerId,
        /// Whether lasting work leaves it too.
        evict: bool,
    },
    /// Give a worker work again.
    Reopen(WorkerId),
    /// Remember that a wave was first seen now: its time counts from here, whoever plans it.
    RecordWaveStart {
        /// The wave.
        wave: u64,
    },
    /// Remember that an instance had its maintenance.
    RecordMaintained {
        /// The wave.
        wave: u64,
        /// The instance.
        instance: InstanceName,
    },
    /// Tell the operators how far a wave is.
    ReportStatus {
        /// The wave.
        wave: u64,
        /// Whether every instance of it had its maintenance.
        complete: bool,
    },
}
