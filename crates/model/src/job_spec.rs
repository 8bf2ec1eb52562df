//! What a submitter asks for.

use serde::{Deserialize, Serialize};

use crate::{PoolId, Room};

/// A job as its submitter described it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The pool whose workers may run it.
    pub pool: PoolId,
    /// What it says it takes up; often far off.
    pub room: Room,
    /// Whether it is placed before all that is not urgent.
    #[serde(default)]
    pub urgent: bool,
    /// What may be done after an attempt was lost.
    #[serde(default)]
    pub retry: Retry,
    /// What the worker is to do; not looked into.
    #[serde(default)]
    pub payload: String,
}

/// What may be done after an attempt was lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Retry {
    /// Nothing: the job is not idempotent, its outcome stays unknown.
    #[default]
    Never,
    /// Run again from the start: the job is idempotent.
    Restart,
    /// Run on from the last checkpoint.
    Resume,
}
