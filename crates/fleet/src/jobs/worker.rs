//! What the log knows of a worker's jobs.

use cactuswheel_model::{JobId, Room};
use serde::{Deserialize, Serialize};

/// Different jobs that have to fail in a row before a worker is set aside.
const SUSPECT_STREAK: usize = 3;

/// Room set aside on a worker, and how its last attempts went.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Room of the attempts placed there.
    pub used: Room,
    /// Attempts placed there.
    pub placed: u32,
    /// Different jobs that failed there since the last one that was done.
    pub streak: Vec<JobId>,
}

impl Worker {
    /// Whether the worker fails whatever it starts.
    ///
    /// Failure: a broken worker fails its jobs at once, is free again at once, and so draws
    /// the whole queue. Different jobs that fail in a row point at the worker; one job at a
    /// time still goes there, so that it is found out when it works again.
    pub fn is_suspect(&self) -> bool {
        self.streak.len() >= SUSPECT_STREAK
    }

    /// Whether another attempt may be placed.
    pub fn accepts_work(&self) -> bool {
        !self.is_suspect() || self.placed == 0
    }

    /// Whether nothing is known that a fresh worker would not have.
    pub(super) fn is_unused(&self) -> bool {
        self.placed == 0 && self.streak.is_empty()
    }
}
