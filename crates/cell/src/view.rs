//! Views of a cell's state for the capacity planner and for operators.

use std::time::Duration;

use cactuswheel_model::Map;
use cactuswheel_work::{JobState, QueueName, Room, ServiceName, TaskId, WorkerId};

use crate::forecast::Forecast;
use crate::learned::Arrivals;

/// A worker, for the capacity planner.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// Service of the worker's pool.
    pub service: ServiceName,
    /// Whether the worker answers polls and may get new tasks.
    pub open: bool,
    /// Whether the worker answers polls but gets no new tasks because it was closed, its data
    /// centre is evacuated, or it is `spent`.
    pub closing: bool,
    /// Whether the worker's data centre is evacuated.
    pub evacuated: bool,
    /// Whether the worker gets no more tasks until it is restarted, because some of its end records
    /// must not be acknowledged.
    pub spent: bool,
    /// Capacity of the worker.
    pub room: Room,
    /// Room allocated to runs.
    pub used: Room,
    /// Number of long-running runs on the worker.
    pub lasting: usize,
    /// Number of all runs on the worker.
    pub runs: usize,
}

/// A run, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunView {
    /// The task.
    pub task: TaskId,
    /// Worker of the run.
    pub worker: WorkerId,
    /// Number of the run.
    pub run: u32,
    /// Phase of the run: planned, ordered, unknown, running or stopping.
    pub phase: String,
    /// Progress in percent.
    pub percent: u32,
}

/// A job, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobView {
    /// Queue of the job.
    pub queue: QueueName,
    /// The state that is reported to callers.
    pub state: JobState,
    /// Time since the job's submission; for a finished job, time since its end.
    pub age: Duration,
    /// Number of tasks that are done; 0 for a finished job, where it is not known.
    pub done: usize,
    /// Number of tasks that wait for a worker or for an earlier step.
    pub waiting: usize,
    /// Runs that exist, or may exist, on a worker.
    pub runs: Vec<RunView>,
}

/// Load of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Load {
    /// Room allocated to runs.
    pub used: Room,
    /// Room requested by tasks that could start now if there were room.
    pub waiting: Room,
    /// Room requested by such tasks of jobs that can no longer meet their objective; not part of
    /// `waiting`.
    pub overdue: Room,
    /// Room requested by waiting tasks that all instances of the fleet together could not run; not
    /// part of any other amount.
    pub unplaceable: Room,
    /// Room allocated to or requested by long-running steps.
    pub lasting: Room,
    /// Number of workers over which long-running steps have to be spread.
    pub spread: usize,
    /// Number of queues of the service.
    pub queues: usize,
    /// Waiting work of short jobs, in core-milliseconds, by the expected run time of its tasks.
    pub work: u64,
    /// Room that known short jobs will request, without `overdue`.
    pub forecast: Forecast,
    /// Arrivals by queue.
    pub arrivals: Map<QueueName, Arrivals>,
}
