//! The end of a run, as a worker lists it.

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease expired.
    Expired,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// One row of a worker's list of ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Number within the worker's life; rises from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Which run of the task.
    pub run: u32,
    /// How it ended.
    pub how: EndReason,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
}
