//! A job and its progress.

use cactuswheel_model::{Attempt, InstanceId, JobSpec};
use serde::{Deserialize, Serialize};

use super::JobPhase;

/// A submitted job and its progress so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What the job runs and needs, as submitted.
    pub spec: JobSpec,
    /// Time of submission, in milliseconds since 1970 by the clock of the entry that accepted it.
    pub at: u64,
    /// State of the job.
    pub phase: JobPhase,
    /// Number of the latest attempt; 0 before the first.
    pub attempt: Attempt,
    /// Distinct workers on which an attempt failed.
    pub failed: Vec<InstanceId>,
    /// Number of attempts that were lost.
    pub lost: u32,
    /// The latest checkpoint, if the job has stored one.
    #[serde(rename = "mark")]
    pub checkpoint: Option<String>,
    /// Whether cancellation was requested: the running attempt is to be stopped and not retried.
    pub cancel: bool,
}

impl Job {
    /// Creates a job that waits for its first attempt.
    pub fn new(spec: JobSpec, at: u64) -> Self {
        Self {
            spec,
            at,
            phase: JobPhase::Queued,
            attempt: Attempt::default(),
            failed: Vec::new(),
            lost: 0,
            checkpoint: None,
            cancel: false,
        }
    }
}
