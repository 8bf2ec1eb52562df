//! What was learnt of a queue's jobs.

use std::time::Duration;

use cactuswheel_model::{Millis, Time};

use crate::forecast::Forecast;

/// Jobs over which the mean course of a job is taken: sizes within a queue differ by a factor of
/// ten, so that fewer say little, and a queue whose jobs change is known anew within seconds.
const MEAN_JOBS: u64 = 64;

/// Guessed time, in milliseconds, after which older run times count half as much.
const HALVE_AFTER_MS: u64 = 400_000;

/// Guessed time, in milliseconds, that the callers' guesses count before anything is learnt.
const PRIOR_MS: u64 = 20_000;

/// What has come in on a queue of short jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Arrivals {
    /// Number of jobs; only rises.
    pub jobs: u64,
    /// When those among them arrived that an earlier owner has taken in.
    pub restored: Vec<Time>,
    /// What a job asks for from its arrival on, on average.
    pub profile: Forecast,
}

/// Times that were taken and what had been guessed of them, older ones counting less.
#[derive(Debug, Clone, Copy, Default)]
struct EstimateError {
    /// In milliseconds.
    actual: u64,
    /// In milliseconds.
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

    /// How many times as long as guessed things take.
    fn factor(self) -> f64 {
        (self.actual + PRIOR_MS) as f64 / (self.estimated + PRIOR_MS) as f64
    }
}

/// What was learnt of a queue's jobs.
#[derive(Debug, Clone, Default)]
pub(crate) struct QueueStats {
    pub(crate) arrivals: Arrivals,
    /// Run times of tasks.
    tasks: EstimateError,
    /// Run times of the longest task of each step.
    steps: EstimateError,
}

impl QueueStats {
    /// A job has arrived that asks for this from now on.
    pub(crate) fn record_arrival(&mut self, profile: &Forecast) {
        let arrivals = &mut self.arrivals;
        arrivals.jobs += 1;
        let count = arrivals.jobs.min(MEAN_JOBS);
        arrivals.profile.average(profile, count);
    }

    /// A task is done.
    pub(crate) fn task_done(&mut self, estimate: Millis, actual: Duration) {
        self.tasks.add(estimate, actual);
    }

    /// A step is done; `longest` is the run time of its longest task.
    pub(crate) fn step_done(&mut self, estimate: Millis, longest: Duration) {
        self.steps.add(estimate, longest);
    }

    /// Run time, in milliseconds, of a task for which callers guess this.
    ///
    /// Guesses are off by half as a rule, and by more on a queue whose callers all guess too
    /// low; what the queue's tasks took together is known within a few jobs.
    pub(crate) fn run_time(&self, estimate: Millis) -> u64 {
        (estimate.get() as f64 * self.tasks.factor()) as u64
    }

    /// How many times as long as callers guess the longest task of a step takes.
    ///
    /// Tasks of one step differ, and a step is done with its longest: a job of which the guesses
    /// say that it is late may be in time, since its objective counts what its work takes.
    pub(crate) fn slowdown(&self) -> f64 {
        self.steps.factor()
    }
}
