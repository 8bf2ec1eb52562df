//! Whether a worker does what it is told, judged by outcomes.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::JobId;

/// Failures in a row, of different jobs, after which a worker gets no work.
///
/// A job that fails wherever it runs fails with all its tasks, so failures of one job say nothing
/// of a worker.
const MAX_FAILED_JOBS: usize = 2;

/// First time without work; doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(1_500);

/// Longest time without work.
const MAX_PAUSE: Duration = Duration::from_secs(12);

/// A worker's record.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed here since the last success, each once.
    failed_jobs: Vec<JobId>,
    /// Pauses in a row.
    pauses: u32,
    /// No work until then.
    paused_until: Option<Time>,
}

impl Health {
    /// A run was done.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// A run of `job` failed, or stood still. True if the worker is paused for it.
    pub(crate) fn record_failure(&mut self, job: JobId, now: Time) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        // After a pause one failure is enough.
        if self.failed_jobs.len() < MAX_FAILED_JOBS && self.pauses == 0 {
            return false;
        }
        let fresh = self.paused_until.is_none_or(|t| t <= now);
        if fresh {
            self.pause(now);
        }
        fresh
    }

    /// Gives the worker no work for a while.
    pub(crate) fn pause(&mut self, now: Time) {
        let pause = FIRST_PAUSE
            .saturating_mul(1 << self.pauses.min(4))
            .min(MAX_PAUSE);
        self.paused_until = Some(now.after(pause));
        self.pauses += 1;
    }

    /// Whether the worker may get work.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.paused_until.is_none_or(|t| t <= now)
    }

    /// Whether the worker was paused and has done nothing since: it gets one task at a time.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.pauses > 0
    }
}
