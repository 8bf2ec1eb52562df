//! Identifiers of steps and tasks.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::JobId;

/// Identifier of a step of an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Index of the occurrence, from 0; 0 for a job that runs once.
    pub turn: u32,
    /// Index of the step within the job, from 0.
    pub step: u32,
}

/// Identifier of a task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

/// Error for a text that is not a task identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a task id has the form JOB.TURN.STEP.INDEX")]
pub struct ParseTaskIdError;

impl TaskId {
    /// The job that the task belongs to.
    pub const fn job(self) -> JobId {
        self.step.job
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.turn, self.step)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseTaskIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or(ParseTaskIdError);
        let job = next()?.parse().map_err(|_| ParseTaskIdError)?;
        let turn = number(next()?)?;
        let step = number(next()?)?;
        let index = number(next()?)?;
        if parts.next().is_some() {
            return Err(ParseTaskIdError);
        }
        let step = StepId { job, turn, step };
        Ok(Self { step, index })
    }
}

fn number(s: &str) -> Result<u32, ParseTaskIdError> {
    if !s.bytes().all(|b| b.is_ascii_digit()) {
        return Err(ParseTaskIdError);
    }
    s.parse().map_err(|_| ParseTaskIdError)
}
