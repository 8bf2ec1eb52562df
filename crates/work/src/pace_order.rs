//! Orders that throttle a run.

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// Tells a worker at which share a run may work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// The share.
    pub percent: u32,
    /// Fencing token.
    pub fence: u64,
}
