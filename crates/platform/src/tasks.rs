//! Control of tasks on workers.

use cactuswheel_model::{Attempt, AttemptEnd, Incarnation, InstanceId, JobId, Room};
use serde::{Deserialize, Serialize};

/// Identifies one attempt of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the attempt belongs to.
    pub job: JobId,
    /// The number of the attempt. A worker runs an attempt at most once per incarnation.
    pub attempt: Attempt,
}

/// Order to a worker to start a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskOrder {
    /// The attempt to start.
    pub task: TaskId,
    /// The worker that runs the task.
    pub worker: InstanceId,
    /// The incarnation of the worker that the order is for. The worker refuses the order in any
    /// other incarnation.
    pub incarnation: Incarnation,
    /// Resource limit of the task. If the task exceeds the limit, the worker throttles or stops it.
    pub room: Room,
    /// The definition of the work, which is opaque to the platform.
    pub payload: String,
    /// The checkpoint to resume from; `None` to start from the beginning.
    pub mark: Option<String>,
    /// Lease duration in ms. The worker stops the task when the lease expires without renewal.
    pub lease: u64,
}

/// A worker's report on a task, in the log's stream [`Tasks`](crate::Stream::Tasks).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt that the report is about.
    pub task: TaskId,
    /// The reported event.
    pub news: TaskEvent,
}

/// An event in the life cycle of a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEvent {
    /// The peak resource usage of the task so far.
    Usage(Room),
    /// A checkpoint was stored. Holds the mark to resume from.
    Checkpoint(String),
    /// The task ended.
    Ended(AttemptEnd),
}

/// Error of an order to a worker.
#[derive(Debug, thiserror::Error)]
pub enum TaskError {
    /// The worker is in another incarnation than the order names. Tasks of the named incarnation
    /// have ended.
    #[error("worker has restarted: order is for another incarnation")]
    Restarted,
    /// The call got no valid response; the worker may have received the order.
    #[error("worker control gave no answer: {0}")]
    Unknown(String),
}

/// Task control of workers.
pub trait Tasks: Send + Sync + 'static {
    /// Starts a task. The call is idempotent.
    fn start(&self, order: &TaskOrder) -> impl Future<Output = Result<(), TaskError>> + Send;

    /// Renews the leases of tasks, so that they expire `lease` ms from now.
    fn renew(
        &self,
        tasks: &[TaskId],
        lease: u64,
    ) -> impl Future<Output = Result<(), TaskError>> + Send;

    /// Stops tasks, after storing a checkpoint if they support checkpoints. A task that has not
    /// started yet is prevented from starting.
    fn stop(&self, tasks: &[TaskId]) -> impl Future<Output = Result<(), TaskError>> + Send;
}
