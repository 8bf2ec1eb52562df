//! What happens to jobs.

use serde::{Deserialize, Serialize};

use crate::{Attempt, Incarnation, InstanceId, JobId, JobSpec, Offset, Room};

/// A proposal about one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobEvent {
    /// A submission.
    Submit {
        /// The job.
        job: JobId,
        /// What is asked for.
        spec: JobSpec,
        /// When, in milliseconds of wall-clock time at the entry that took it.
        at: u64,
    },
    /// A placement on one life of a worker.
    Place {
        /// The job.
        job: JobId,
        /// The next attempt; makes two planners' placements exclude each other.
        attempt: Attempt,
        /// The worker.
        worker: InstanceId,
        /// Its life; another life refuses the task.
        incarnation: Incarnation,
        /// What is set aside for it, by its description and by experience.
        room: Room,
    },
    /// A checkpoint that the worker has stored.
    Checkpoint {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// Where to run on from, in the worker's terms.
        mark: String,
    },
    /// The end of an attempt.
    End {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A cancellation by the submitter.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// How far the workers' reports have been taken over.
    Reports {
        /// The next report to read.
        next: Offset,
    },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// The task came to its end.
    Done,
    /// The task failed.
    Failed,
    /// The worker never started it: proof that it did not run.
    Refused,
    /// It was stopped on request or because its lease lapsed.
    Stopped,
    /// The worker's life ended under it.
    Lost,
}
