//! What a worker says when it is looked at.

use serde::{Deserialize, Serialize};

use crate::{End, TaskId};

/// A run that is there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// Which run of the task.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Share of the work that is done, or for a lasting task whether it is at work, in percent.
    pub percent: u32,
    /// Tail latency in milliseconds of a task that serves; processor in use of any other.
    pub gauge: u64,
}

/// Both lists of a worker and its clock, as of one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker's own steady clock, in milliseconds.
    pub clock: u64,
    /// Start of this life, in milliseconds since 1970.
    pub born: u64,
    /// What runs there.
    pub running: Vec<Running>,
    /// Ends that were not acknowledged yet, oldest first.
    pub ended: Vec<End>,
}
