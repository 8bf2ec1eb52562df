//! What a worker's going on says for the runs that were started on it.

use std::time::Duration;

use cactuswheel_model::Time;

use crate::attempt::Attempt;

/// Time for which a worker has to go on after a start before its end says little against that run.
const PROBATION: Duration = Duration::from_millis(100);

/// Time at work after which earlier crashes of a task's workers say nothing against it any more.
const CLEARED: Duration = Duration::from_secs(10);

impl Attempt {
    /// Whether a worker that last answered at `alive` has outlived the start of this run.
    pub(crate) fn is_proven(&self, alive: Time) -> bool {
        self.was_at_work(alive, PROBATION)
    }

    /// Whether the run was there for so long that it has hardly anything to do with its worker's end.
    pub(crate) fn is_cleared(&self, alive: Time) -> bool {
        self.was_at_work(alive, CLEARED)
    }

    fn was_at_work(&self, alive: Time, least: Duration) -> bool {
        // An order without an answer may be carried out at any time.
        self.sure && alive >= self.started.after(least)
    }
}
