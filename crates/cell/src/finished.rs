//! What is kept of a job when nothing of it is left to do.

use cactuswheel_model::Time;
use cactuswheel_work::{JobState, QueueName, TaskId, TeamName};
use serde::{Deserialize, Serialize};

/// What callers may still ask of a job in a final state.
///
/// Invariant: no run of the job is left anywhere, so neither its steps nor what they run are
/// needed again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished {
    pub(crate) state: JobState,
    pub(crate) team: Option<TeamName>,
    pub(crate) queue: QueueName,
    /// Tasks that were started anew after a run had been given up unseen.
    pub(crate) redone: Vec<Redone>,
}

/// A task that was started anew after a run had been given up unseen: what its worker may list
/// of that run later must not be acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redone {
    pub(crate) task: TaskId,
    /// The run that was started then.
    pub(crate) run: u32,
}

/// A finished job in its cell.
#[derive(Debug)]
pub(crate) struct FinishedJob {
    pub(crate) job: Finished,
    /// When it reached its final state, as far as this owner knows.
    pub(crate) ended: Time,
}
