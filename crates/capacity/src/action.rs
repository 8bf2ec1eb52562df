//! Actions that the planner requests.

use cactuswheel_model::Time;
use cactuswheel_work::{InstanceName, InstanceOrder, WorkerId};

/// An action that the planner requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order to an instance. The caller reports its outcome with
    /// [`crate::Planner::record_outcome`].
    Order {
        /// The order.
        order: InstanceOrder,
        /// The worker on the instance, if any; the order terminates it.
        worker: Option<WorkerId>,
    },
    /// Assign no new work to a worker. With `evict`, long-running tasks also leave it, within their
    /// eviction budget.
    Close {
        /// The worker.
        worker: WorkerId,
        /// Whether long-running tasks are evicted from the worker.
        evict: bool,
    },
    /// Empty a closed worker by this time: long-running tasks leave it within their eviction budget,
    /// and short tasks are stopped if they would end later.
    Vacate {
        /// The worker.
        worker: WorkerId,
        /// When the worker has to be empty.
        by: Time,
    },
    /// Assign work to a closed worker again.
    Reopen(WorkerId),
    /// Store that a wave was first seen now, so that its deadline counts from this moment under
    /// every later owner too.
    RecordWaveStart {
        /// Number of the wave.
        wave: u64,
    },
    /// Store that an instance had its maintenance.
    RecordMaintained {
        /// Number of the wave.
        wave: u64,
        /// The instance.
        instance: InstanceName,
    },
    /// Publish the progress of a wave to the operators.
    ReportStatus {
        /// Number of the wave.
        wave: u64,
        /// Whether every instance of the wave had its maintenance.
        complete: bool,
    },
}
