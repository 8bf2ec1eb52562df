//! Statistics on the jobs of a queue.

use std::time::Duration;

use cactuswheel_model::{Millis, Time};

use crate::forecast::Forecast;

/// Number of jobs over which the mean demand profile is taken. Job sizes within a queue differ by a
/// factor of ten, so a mean over fewer jobs is unreliable; with this number the mean still
/// adapts within seconds when the jobs of a queue change.
const MEAN_JOBS: u64 = 64;

/// Total estimated time, in milliseconds, beyond which all earlier run times are weighted by half.
const HALVE_AFTER_MS: u64 = 400_000;

/// Weight of the prior assumption that the callers' estimates are right, in milliseconds of run
/// time.
const PRIOR_MS: u64 = 20_000;

/// Arrivals of short jobs on a queue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Arrivals {
    /// Total number of jobs; never decreases.
    pub jobs: u64,
    /// Arrival times of those jobs that an earlier owner had accepted.
    pub restored: Vec<Time>,
    /// Mean demand of a job over time, starting at its arrival.
    pub profile: Forecast,
}

/// Sums of actual and estimated run times; older ones have less weight.
#[derive(Debug, Clone, Copy, Default)]
struct EstimateError {
    /// Actual run time in milliseconds.
    actual: u64,
    /// Estimated run time in milliseconds.
    estimated: u64,
}

impl EstimateError {
    fn add(&mut self, estimate: Millis, actual: Duration) {
        self.actual += actual.as_millis() as u64;
        self.estimated += estimate.get();
        if self.estimated > HALVE_AFTER_MS {
            self.actual /= 2;
            self.estimated /= 2;
        }
    }

    /// Ratio of the actual to the estimated run time.
    fn factor(self) -> f64 {
        (self.actual + PRIOR_MS) as f64 / (self.estimated + PRIOR_MS) as f64
    }
}

/// Statistics on the jobs of a queue.
#[derive(Debug, Clone, Default)]
pub(crate) struct QueueStats {
    pub(crate) arrivals: Arrivals,
    /// Estimate error of single tasks.
    tasks: EstimateError,
    /// Estimate error of the longest task of each step.
    steps: EstimateError,
}

impl QueueStats {
    /// Records the arrival of a job with this demand profile.
    pub(crate) fn record_arrival(&mut self, profile: &Forecast) {
        let arrivals = &mut self.arrivals;
        arrivals.jobs += 1;
        let count = arrivals.jobs.min(MEAN_JOBS);
        arrivals.profile.average(profile, count);
    }

    /// Records the run time of a task that is done.
    pub(crate) fn task_done(&mut self, estimate: Millis, actual: Duration) {
        self.tasks.add(estimate, actual);
    }

    /// Records a step that is done; `longest` is the run time of its longest task.
    pub(crate) fn step_done(&mut self, estimate: Millis, longest: Duration) {
        self.steps.add(estimate, longest);
    }

    /// Returns the expected run time, in milliseconds, of a task with this estimate.
    ///
    /// Estimates are typically off by half, and by more on a queue whose callers all estimate too
    /// low. The total run time of the queue's tasks corrects them after a few jobs.
    pub(crate) fn run_time(&self, estimate: Millis) -> u64 {
        (estimate.get() as f64 * self.tasks.factor()) as u64
    }

    /// Ratio of the run time of a step's longest task to the caller's estimate.
    ///
    /// The tasks of a step differ in run time, and the step is done when its longest task is. A job
    /// that is late by its caller's estimates may still be in time, since the objective is computed
    /// from the actual run time of its work.
    pub(crate) fn slowdown(&self) -> f64 {
        self.steps.factor()
    }
}
