//! What a cell shows to those who decide about instances and to operators.

use cactuswheel_model::Time;
use cactuswheel_work::{JobId, JobState, QueueName, Room, ServiceName, TaskId, WorkerId};

/// A job, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: QueueName,
    /// Its state.
    pub state: JobState,
    /// Its tasks that have a run somewhere.
    pub tasks: Vec<TaskView>,
    /// Tasks that wait for a worker.
    pub waiting: usize,
}

/// A run, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskView {
    /// The task.
    pub task: TaskId,
    /// Its worker.
    pub worker: WorkerId,
    /// Number of the run.
    pub run: u32,
    /// How far it is: `planned`, `ordered`, `unknown`, `running` or `stopping`.
    pub phase: &'static str,
}

/// A worker, for those who decide about instances.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// Service whose pool it is in.
    pub service: ServiceName,
    /// Whether it answers and takes work.
    pub open: bool,
    /// Whether it is kept free of new work.
    pub closing: bool,
    /// What it has.
    pub room: Room,
    /// What is taken up.
    pub used: Room,
    /// Runs there that last.
    pub lasting: usize,
    /// All runs there.
    pub runs: usize,
    /// When the last of the short runs there should be over, by the callers' estimates.
    pub free_at: Time,
}
