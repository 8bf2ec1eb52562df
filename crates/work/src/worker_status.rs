//! Status of a worker, as returned by a poll.

use serde::{Deserialize, Serialize};

use crate::{End, TaskId};

/// An entry in a worker's list of current runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// Number of the run of the task.
    pub run: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent; for a long-running task, 100 if it is active.
    pub percent: u32,
    /// Tail latency in milliseconds if the task serves requests; otherwise the processor usage.
    pub gauge: u64,
}

/// The current and the ended runs on a worker and its clock, all at the same moment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Time on the worker's own monotonic clock, in milliseconds.
    pub clock: u64,
    /// Start of this incarnation, in milliseconds since 1970.
    pub born: u64,
    /// Current runs.
    pub running: Vec<Running>,
    /// Ends of runs that are not acknowledged yet, oldest first.
    pub ended: Vec<End>,
}
