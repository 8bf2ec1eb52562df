//! Orders to stop a run.

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// Stops a run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Fencing token.
    pub fence: u64,
}
