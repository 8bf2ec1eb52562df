//! One job.

use cactuswheel_model::{Attempt, InstanceId, JobSpec};
use serde::{Deserialize, Serialize};

use super::JobPhase;

/// A job and what became of it so far.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What was asked for.
    pub spec: JobSpec,
    /// When, in milliseconds of wall-clock time at the entry that took it.
    pub at: u64,
    /// Where it is.
    pub phase: JobPhase,
    /// The last attempt, 0 before the first.
    pub attempt: Attempt,
    /// Different workers that it failed on.
    pub failed: Vec<InstanceId>,
    /// Attempts that were lost.
    pub lost: u32,
    /// The last checkpoint, if it has one.
    #[serde(rename = "mark")]
    pub checkpoint: Option<String>,
    /// Whether a running attempt is to be stopped and not repeated.
    pub cancel: bool,
}

impl Job {
    /// A job that waits for its first attempt.
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
