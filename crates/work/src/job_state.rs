//! States of jobs, as callers see them.

use serde::{Deserialize, Serialize};

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobState {
    /// It was accepted, and none of its tasks has started.
    Queued,
    /// At least one of its tasks has started.
    Running,
    /// Every task has completed.
    Complete,
    /// A task has failed as many times as the queue allows.
    Failed,
    /// It was cancelled by the caller.
    Cancelled,
}

impl JobState {
    /// Whether the state is final: no task of the job will run any more.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}
