//! How long runs and their workers have survived a start.

use std::time::Duration;

use cactuswheel_model::Time;

use crate::attempt::Attempt;

/// Time that a worker has to survive after a run's start before its crash is weak evidence
/// against that run.
const PROBATION: Duration = Duration::from_millis(100);

/// Time that a run of a long-running task has to be active until its worker's crash is no evidence
/// against the task.
const STARTUP: Duration = Duration::from_secs(1);

/// Time that a run has to be active until earlier crashes no longer count against its task.
const EXONERATION: Duration = Duration::from_secs(10);

impl Attempt {
    /// Whether a worker that was last known alive at `alive` has survived the start of this run.
    pub(crate) fn passed_probation(&self, alive: Time) -> bool {
        self.ran_for(alive, PROBATION)
    }

    /// Whether the run was active for so long before the worker was last known alive, at `alive`,
    /// that it is very unlikely to have caused the worker's end.
    pub(crate) fn is_exonerated(&self, alive: Time) -> bool {
        self.ran_for(alive, EXONERATION)
    }

    /// Whether a run of a long-running task was at work, or so long after its start, when the worker
    /// was last known alive that its start did not cause the worker's end.
    pub(crate) fn outlived_startup(&self, alive: Time) -> bool {
        self.start_confirmed && (self.progress.percent >= 100 || self.ran_for(alive, STARTUP))
    }

    fn ran_for(&self, alive: Time, least: Duration) -> bool {
        // A start order that was not answered may be carried out at any time.
        self.start_confirmed && alive >= self.started.after(least)
    }
}
