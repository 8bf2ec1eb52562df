//! Ends of runs, as listed by workers.

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// It completed successfully.
    Done,
    /// It failed, because of the task or the worker.
    Failed,
    /// A stop order ended it.
    Stopped,
    /// Its lease expired.
    Expired,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// An entry in a worker's list of ended runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Sequence number within the incarnation of the worker, starting at 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run of the task.
    pub run: u32,
    /// How it ended.
    pub how: EndReason,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
}
