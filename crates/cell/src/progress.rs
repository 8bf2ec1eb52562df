//! Detection of runs that make no progress.

use std::time::Duration;

use cactuswheel_model::{Millis, Time};

/// Shortest time without progress after which a run counts as stalled. On a healthy worker, the
/// progress of a run of up to half a minute increases by one percent several times within this
/// time.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How many times longer than by the run's own pace an increase of the progress may take. The pace
/// changes with the other runs on the worker.
const PACE_FACTOR: u32 = 3;

/// How many times longer than by the estimate of its run time an increase of the progress of a run
/// may take that has not shown a pace of its own. Estimates are off by a factor of two or more.
const ESTIMATE_FACTOR: u32 = 4;

/// Increase of the progress, in percent, that shows a run's pace. The times of the first and the
/// last increase are known to a poll's interval only, so a smaller one says little.
const MIN_GAIN: u32 = 3;

/// Highest number of stalled runs of a task for each of which its next run gets twice as long.
const MAX_DOUBLINGS: u32 = 8;

/// Time after which a long-running run that is not active is restarted elsewhere. Such a run
/// becomes active within a second or two; while it is not, it counts against its step's
/// disruption budget.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Progress of a run as its worker lists it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    /// Progress at the last poll, in percent.
    pub(crate) percent: u32,
    /// When the progress last increased.
    pub(crate) last_increase: Time,
    /// The first progress that this owner saw, in percent, and when.
    first: Option<(u32, Time)>,
}

/// What is expected of a run's progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Expected {
    /// Whether the run is long-running; its progress then shows whether it is active.
    pub(crate) lasting: bool,
    /// Estimated run time of the task.
    pub(crate) run_time: Millis,
    /// Number of earlier runs of the task that were stopped as stalled.
    pub(crate) stalls: u32,
}

impl Progress {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            percent: 0,
            last_increase: now,
            first: None,
        }
    }

    /// Records the progress that a poll showed.
    pub(crate) fn record(&mut self, percent: u32, now: Time) {
        if percent > self.percent || percent >= 100 {
            self.last_increase = now;
        }
        self.percent = percent;
        self.first.get_or_insert((percent, now));
    }

    /// Time per percent by the increases so far; `None` if these are too few.
    fn pace(&self) -> Option<Duration> {
        let (percent, at) = self.first?;
        let gain = self.percent.saturating_sub(percent);
        (gain >= MIN_GAIN).then(|| self.last_increase.since(at) / gain)
    }

    /// Whether the run is stalled: its worker lists it, but it makes no progress.
    ///
    /// A run of minutes gains a percent every few seconds, so its progress is judged by its own
    /// pace, and by the estimate of its run time until it has shown one. Its speed is no criterion,
    /// as many healthy runs take several times their estimate. A task whose runs stalled before gets
    /// longer each time, as its estimate may be far too low; otherwise it would be stopped for ever.
    pub(crate) fn is_stalled(&self, expected: Expected, now: Time) -> bool {
        let idle = now.since(self.last_increase);
        if expected.lasting {
            return self.percent < 100 && idle >= STARTUP_TIMEOUT;
        }
        let usual = match self.pace() {
            Some(pace) => pace * PACE_FACTOR,
            None => expected.run_time.duration() / 100 * ESTIMATE_FACTOR,
        };
        let doublings = expected.stalls.min(MAX_DOUBLINGS);
        idle >= usual.max(MIN_STALL_TIMEOUT) * (1 << doublings)
    }
}
