//! What a cell shows to those who decide about instances and to operators.

use std::time::Duration;

use cactuswheel_model::Map;
use cactuswheel_work::{JobState, QueueName, Room, ServiceName, TaskId, WorkerId};

use crate::forecast::Forecast;
use crate::learned::Arrivals;

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
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Whether it can take no more work in its life.
    pub spent: bool,
    /// What it has.
    pub room: Room,
    /// What is taken up.
    pub used: Room,
    /// Runs there that last.
    pub lasting: usize,
    /// All runs there.
    pub runs: usize,
}

/// A run, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunView {
    /// The task.
    pub task: TaskId,
    /// Its worker.
    pub worker: WorkerId,
    /// Number of the run.
    pub run: u32,
    /// How far it is: planned, ordered, unknown, running or stopping.
    pub phase: String,
    /// Share of its work that is done, in percent.
    pub percent: u32,
}

/// A job, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobView {
    /// Its queue.
    pub queue: QueueName,
    /// Its state, as callers see it.
    pub state: JobState,
    /// How long ago it was handed in; of a finished job, how long ago it ended.
    pub age: Duration,
    /// Tasks that are done; not known of a finished job.
    pub done: usize,
    /// Tasks that wait for a worker, or for an earlier step.
    pub waiting: usize,
    /// Runs that are, or may be, somewhere.
    pub runs: Vec<RunView>,
}

/// What a service has to do.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Load {
    /// Room that runs take up.
    pub used: Room,
    /// Room that tasks ask for which could start now, if there were room.
    pub waiting: Room,
    /// The same of jobs that are of no use to their callers any more.
    pub overdue: Room,
    /// Room that lasting runs take up, or ask for.
    pub lasting: Room,
    /// Workers that lasting steps have to be spread over.
    pub spread: usize,
    /// Queues that the service serves.
    pub queues: usize,
    /// Work that waits, in core-milliseconds of processor, by what is known of its run time.
    pub work: u64,
    /// Room that known short jobs will ask for; not what waits in vain for its objective.
    pub forecast: Forecast,
    /// What has come in, by queue.
    pub arrivals: Map<QueueName, Arrivals>,
}
