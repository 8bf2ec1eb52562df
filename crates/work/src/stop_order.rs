//! Orders to stop a run.

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// Tells a worker to stop a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Fencing token.
    pub fence: u64,
}
