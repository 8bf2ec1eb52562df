//! What is kept of a job when nothing of it is left to do.

use cactuswheel_model::Time;
use cactuswheel_work::{JobState, QueueName, TeamName};
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
}

/// A finished job in its cell.
#[derive(Debug)]
pub(crate) struct Kept {
    pub(crate) job: Finished,
    /// When it reached its final state, as far as this owner knows.
    pub(crate) ended: Time,
}
