//! Events of jobs.

use serde::{Deserialize, Serialize};

use crate::{Attempt, Incarnation, InstanceId, JobId, JobSpec, Offset, Room};

/// A proposed event of a job, or progress in reading the workers' reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobEvent {
    /// The job is submitted.
    Submit {
        /// The job.
        job: JobId,
        /// Description of the job.
        spec: JobSpec,
        /// Time of submission, in milliseconds of wall-clock time at the entry that accepted it.
        at: u64,
    },
    /// The job is placed on one incarnation of a worker.
    Place {
        /// The job.
        job: JobId,
        /// Number of the new attempt; of two planners that place the same attempt, only one
        /// succeeds.
        attempt: Attempt,
        /// The worker.
        worker: InstanceId,
        /// Incarnation of the worker; any other incarnation refuses the task.
        incarnation: Incarnation,
        /// Resources reserved for the job, from its description and from past usage.
        room: Room,
    },
    /// The worker has stored a checkpoint.
    Checkpoint {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// Position to resume from, in the worker's own format.
        mark: String,
    },
    /// An attempt has ended.
    End {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The submitter cancels the job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// The workers' reports have been processed up to an offset.
    Reports {
        /// Offset of the next report to read.
        next: Offset,
    },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The worker refused to start the task, which proves that it did not run.
    Refused,
    /// The task was stopped on request or because its lease expired.
    Stopped,
    /// The worker's incarnation ended while the task was running.
    Lost,
}
