//! Tasks on workers.

use cactuswheel_model::{Attempt, AttemptEnd, Incarnation, InstanceId, JobId, Room};
use serde::{Deserialize, Serialize};

/// Names one attempt at a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The attempt; a worker runs each at most once in one of its lives.
    pub attempt: Attempt,
}

/// What a worker is told to start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskOrder {
    /// The attempt.
    pub task: TaskId,
    /// The worker.
    pub worker: InstanceId,
    /// The life of the worker that is meant; another life refuses.
    pub incarnation: Incarnation,
    /// What the task may take up; above it the worker throttles or stops it.
    pub room: Room,
    /// What to do.
    pub payload: String,
    /// Where to run on from.
    pub mark: Option<String>,
    /// Time after which the worker stops the task unless its lease is renewed, in ms.
    pub lease: u64,
}

/// What a worker reports, in the log's stream of tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt.
    pub task: TaskId,
    /// What there is to report.
    pub news: TaskEvent,
}

/// News of a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEvent {
    /// The most that it took up so far.
    Usage(Room),
    /// A checkpoint was stored.
    Checkpoint(String),
    /// It ended.
    Ended(AttemptEnd),
}

/// Why a worker was not told.
#[derive(Debug, thiserror::Error)]
pub enum TaskError {
    /// The worker's life is another one: what ran in the life that is meant is over.
    #[error("worker is in another life")]
    Restarted,
    /// No answer; the worker may have been told.
    #[error("worker control gave no answer: {0}")]
    Unknown(String),
}

/// Worker control for tasks.
pub trait Tasks: Send + Sync + 'static {
    /// Starts a task; telling the same again is harmless.
    fn start(&self, order: &TaskOrder) -> impl Future<Output = Result<(), TaskError>> + Send;

    /// Renews leases, by `lease` ms from now.
    fn renew(
        &self,
        tasks: &[TaskId],
        lease: u64,
    ) -> impl Future<Output = Result<(), TaskError>> + Send;

    /// Stops tasks after a checkpoint if they can have one; one that never started is kept
    /// from starting.
    fn stop(&self, tasks: &[TaskId]) -> impl Future<Output = Result<(), TaskError>> + Send;
}
