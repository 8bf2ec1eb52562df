//! The record that is kept of a finished job.

use cactuswheel_model::Time;
use cactuswheel_work::{JobState, QueueName, TaskId, TeamName};
use serde::{Deserialize, Serialize};

/// State of a finished job that callers can still query.
///
/// Invariant: no run of the job is left on any worker, so neither its steps nor its spec are needed
/// again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    pub(crate) state: JobState,
    pub(crate) team: Option<TeamName>,
    pub(crate) queue: QueueName,
    /// Tasks that were restarted after a run was abandoned because its worker did not answer.
    pub(crate) redone: Vec<Redone>,
}

/// A task that was restarted after a run was abandoned because its worker did not answer. If the
/// worker later lists an end record that shows the abandoned run as done, the record must not be
/// acknowledged: the work would count as done twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redone {
    pub(crate) task: TaskId,
    /// Number of the run that replaced the abandoned one.
    pub(crate) run: u32,
}

/// A finished job, kept in memory for queries.
#[derive(Debug)]
pub(crate) struct FinishedJob {
    pub(crate) job: Finished,
    /// When the job reached its final state; of a restored job, when it was restored.
    pub(crate) ended: Time,
}
