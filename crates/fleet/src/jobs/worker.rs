//! The load and recent failures of a worker.

use cactuswheel_model::{JobId, Room};
use serde::{Deserialize, Serialize};

/// Number of different jobs that fail in a row before a worker is suspect.
const SUSPECT_STREAK: usize = 3;

/// Resources reserved on a worker, and the outcome of its latest attempts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Resources reserved for the attempts placed on the worker.
    pub used: Room,
    /// Number of attempts placed on the worker.
    pub placed: u32,
    /// Different jobs that failed on the worker since a job last succeeded there.
    pub streak: Vec<JobId>,
}

impl Worker {
    /// Whether the worker appears to fail every job that it starts.
    ///
    /// A broken worker fails its jobs at once, is free again at once, and would so attract the
    /// whole queue. When different jobs fail in a row, the cause is likely the worker. It still
    /// gets one job at a time, so that its recovery is noticed.
    pub fn is_suspect(&self) -> bool {
        self.streak.len() >= SUSPECT_STREAK
    }

    /// Whether another attempt may be placed on the worker.
    pub fn accepts_work(&self) -> bool {
        !self.is_suspect() || self.placed == 0
    }

    /// Whether the worker has neither placed attempts nor recorded failures, so that its row can
    /// be removed.
    pub(super) fn is_unused(&self) -> bool {
        self.placed == 0 && self.streak.is_empty()
    }
}
