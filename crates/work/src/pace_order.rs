//! Orders that throttle a run.

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// Limits the speed of a run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Maximum speed in percent of full speed.
    pub percent: u32,
    /// Fencing token.
    pub fence: u64,
}
