//! Health of a worker, judged by the outcomes of its runs.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::JobId;

/// Number of different jobs that have to fail on a worker, with no success in between, before it
/// gets no more tasks.
///
/// All tasks of a faulty job fail wherever they run, so repeated failures of a single job say
/// nothing about the worker.
const MAX_FAILED_JOBS: usize = 2;

/// First pause; each further pause is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(1_500);

/// Longest pause. Work that only this worker can do waits for as long when the worker is well again.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Shortest time that a run has to be at work on a worker after its pause to count as a sign that
/// the worker is well. Long-running tasks start up in less.
const MIN_TRIAL: Duration = Duration::from_secs(1);

/// Longest such time. A run that fails late may fail by its own fault, and meanwhile the worker gets
/// hardly any tasks.
const MAX_TRIAL: Duration = Duration::from_secs(3);

/// What a run says about its worker, if that has been paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trial {
    /// Nothing yet: it started after the last pause, and not long ago.
    Open,
    /// The worker is well: the run has been at work for longer than those that failed.
    Passed,
    /// Nothing: it started before the last pause.
    Earlier,
}

/// Failures and pauses of one worker.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Distinct jobs that failed on the worker since its last success.
    failed_jobs: Vec<JobId>,
    /// Longest time after which a run failed on the worker since its last success.
    longest: Duration,
    /// Number of consecutive pauses.
    pauses: u32,
    /// The worker gets no tasks until this time.
    paused_until: Option<Time>,
}

impl Health {
    /// Records that a run completed, which clears failures and pauses.
    pub(crate) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records that a run of `job` failed after the time `ran`; returns whether this paused the
    /// worker.
    pub(crate) fn record_failure(&mut self, job: JobId, ran: Duration, now: Time) -> bool {
        self.longest = self.longest.max(ran);
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        // After a pause a single failure is enough to pause the worker again.
        if self.failed_jobs.len() < MAX_FAILED_JOBS && self.pauses == 0 {
            return false;
        }
        let fresh = self.paused_until.is_none_or(|t| t <= now);
        if fresh {
            self.pause(now);
        }
        fresh
    }

    /// Gives the worker no tasks for some time, doubled with each consecutive pause.
    pub(crate) fn pause(&mut self, now: Time) {
        let pause = FIRST_PAUSE
            .saturating_mul(1 << self.pauses.min(4))
            .min(MAX_PAUSE);
        self.paused_until = Some(now.after(pause));
        self.pauses += 1;
    }

    /// When the last pause is over; `None` if there was none since the last success.
    pub(crate) fn paused_until(&self) -> Option<Time> {
        self.paused_until
    }

    /// Whether the worker is not paused.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.paused_until.is_none_or(|t| t <= now)
    }

    /// Whether the worker was paused and has not completed a run since. It then gets one task at a
    /// time, and more as runs pass their trial.
    pub(crate) fn is_recovering(&self) -> bool {
        self.pauses > 0
    }

    /// How long a run has to be at work on the worker after a pause to pass its trial. A worker that
    /// is still faulty has most likely failed it by then.
    pub(crate) fn trial_time(&self) -> Duration {
        self.longest.clamp(MIN_TRIAL, MAX_TRIAL)
    }
}
