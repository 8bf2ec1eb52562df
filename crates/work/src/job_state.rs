//! State of a job as callers see it.

use serde::{Deserialize, Serialize};

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; none of its tasks has started.
    Queued,
    /// A task has started.
    Running,
    /// Every task has ended as done.
    Complete,
    /// A task has failed as often as the queue allows.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

impl JobState {
    /// Whether nothing of the job will ever run again.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}
