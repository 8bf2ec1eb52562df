//! Descriptions of jobs.

use serde::{Deserialize, Serialize};

use crate::{PoolId, Room};

/// Description of a job by its submitter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Pool whose workers may run the job.
    pub pool: PoolId,
    /// Resources that the submitter requests; often far from the actual usage.
    pub room: Room,
    /// Whether the job is placed before all jobs that are not urgent.
    #[serde(default)]
    pub urgent: bool,
    /// How the job may be retried after a lost attempt.
    #[serde(default)]
    pub retry: Retry,
    /// Instructions for the worker, which are passed on without being parsed.
    #[serde(default)]
    pub payload: String,
}

/// How a job may be retried after a lost attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Retry {
    /// No retry: the job is not idempotent, so its outcome stays unknown.
    #[default]
    Never,
    /// Run the job again from the start: it is idempotent.
    Restart,
    /// Resume the job from its last checkpoint.
    Resume,
}
